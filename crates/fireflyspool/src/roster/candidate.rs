//! A possible owner.

use crate::ids;

/// One entry VM that can own backend servers.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) node: ids::NodeId,
    pub(super) zone: &'a str,
    pub(super) zone_out: bool,
}

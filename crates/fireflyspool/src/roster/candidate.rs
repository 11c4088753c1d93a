//! A possible owner of backend servers.

use crate::ids;

/// Entry VM that is not leaving and can own backend servers.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) node: ids::NodeId,
    pub(super) zone: &'a str,
    /// Whether its zone is taken out: it then owns backend servers only if no other VM can.
    pub(super) zone_out: bool,
}

//! A backend server and its owner.

use crate::{backend, ids};

/// One backend server as input and result of [`super::placement::Placement::run`].
#[derive(Clone, Debug)]
pub(super) struct Assignment<'a> {
    pub(super) server: &'a str,
    pub(super) service: &'a str,
    pub(super) zone: &'a str,
    pub(super) hosted: &'a [backend::HostedShard],
    /// Whether its zone is taken out, in which case it gets no owner.
    pub(super) zone_out: bool,
    /// Current owner as input, chosen owner as result.
    pub(super) owner: Option<ids::NodeId>,
}

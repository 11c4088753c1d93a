//! A backend server that needs an owner.

use crate::{backend, ids};

/// What the choice of an owner depends on.
#[derive(Clone, Debug)]
pub(super) struct Seat<'a> {
    pub(super) server: &'a str,
    pub(super) service: &'a str,
    pub(super) zone: &'a str,
    pub(super) hosted: &'a [backend::HostedShard],
    /// Whether its zone is taken out: it needs no owner then.
    pub(super) out: bool,
    /// Present owner before the choice, chosen owner after it.
    pub(super) owner: Option<ids::NodeId>,
}

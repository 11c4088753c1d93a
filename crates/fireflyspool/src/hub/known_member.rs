//! Record of an entry VM in a hub.

use std::time;

use crate::{hub, ids};

/// Entry VM with the time of its last poll, here or at another hub.
#[derive(Debug)]
pub(super) struct KnownMember {
    pub(super) member: hub::Member,
    pub(super) last_seen: time::Instant,
    /// Whether it polls this hub, as opposed to being listed in a batch of another one.
    pub(super) follows: bool,
    /// Revision of the hub's followers at which this record became what it is.
    pub(super) revision: ids::Revision,
}

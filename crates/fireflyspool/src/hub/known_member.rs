//! Record of an entry VM in a hub.

use std::time;

use crate::hub;

/// Entry VM with the time of its last poll, here or at another hub.
#[derive(Debug)]
pub(super) struct KnownMember {
    pub(super) member: hub::Member,
    pub(super) last_seen: time::Instant,
    /// Whether it polls this hub, as opposed to being listed in a batch of another one.
    pub(super) follows: bool,
}

//! An entry VM, as a hub knows it.

use std::time;

use crate::hub;

/// Record of an entry VM.
#[derive(Debug)]
pub(super) struct KnownMember {
    pub(super) member: hub::Member,
    pub(super) last_heard: time::Instant,
    /// Whether it polls this hub, as opposed to being named by another one.
    pub(super) follows: bool,
}

//! Actions of an exchange.

use std::time;

use crate::{forward, ids};

/// What the driver of an exchange must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt and report its end to [`forward::Exchange::attempt_ended`].
    Send(forward::Send),
    /// Send a group, and report its answers to [`forward::Exchange::group_answered`] and its
    /// end to [`forward::Exchange::group_ended`].
    Delegate(forward::Delegation),
    /// Call [`forward::Exchange::wake`] at this time; replaces the previous one.
    WakeAt(time::Instant),
    /// Answer the entry VM for which a group is gathered; the answer is the last one if the
    /// exchange is finished.
    Report(forward::GroupAnswer),
    /// Answer the caller; running attempts need not be awaited.
    Finish(forward::Outcome),
}

impl Action {
    /// Number of the attempt or group that is sent, if one is.
    pub fn attempt(&self) -> Option<ids::AttemptId> {
        match self {
            Self::Send(send) => Some(send.attempt),
            Self::Delegate(delegation) => Some(delegation.attempt),
            Self::WakeAt(_) | Self::Report(_) | Self::Finish(_) => None,
        }
    }
}

//! Actions of an exchange.

use std::time;

use crate::forward;

/// What the driver of an exchange must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt and report its end to [`forward::Exchange::attempt_ended`].
    Send(forward::Send),
    /// Call [`forward::Exchange::wake`] at this time; replaces the previous one.
    WakeAt(time::Instant),
    /// Answer the caller; running attempts need not be awaited.
    Finish(forward::Outcome),
}

//! Actions of an exchange.

use std::time;

use crate::forward;

/// Output of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt and report its end.
    Send(forward::Send),
    /// Call [`forward::Exchange::wake`] at this time; replaces the previous one.
    WakeAt(time::Instant),
    /// Answer the caller; open attempts need not be awaited.
    Finish(forward::Verdict),
}

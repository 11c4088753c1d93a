//! Call in flight to a control VM.

use std::time;

use crate::quota;

/// Asks of one call, and when it was sent.
#[derive(Clone, Debug)]
pub(super) struct HubCall {
    pub(super) sent: time::Instant,
    pub(super) asks: Vec<quota::Ask>,
    /// Whether the answer is overdue, so that other control VMs are asked instead.
    pub(super) overdue: bool,
}

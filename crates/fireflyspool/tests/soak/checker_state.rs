//! Events of a run, as its checker records them.

use std::{net, time};

/// Start and end of a fault or a suspicious event.
pub(super) type Span = (time::Instant, time::Instant);

/// Data behind the lock of a checker.
#[derive(Default)]
pub(super) struct CheckerState {
    /// Greatest version of a configuration that was sent, and that was acknowledged.
    pub(super) sent: u64,
    pub(super) acknowledged: u64,
    /// Non-idempotent requests with the status of their answers, `None` without one.
    pub(super) singles: Vec<(String, Option<u16>)>,
    /// Faults of entry VMs and of the links to them.
    pub(super) faults: Vec<(net::SocketAddr, Span)>,
    /// Events that are violations unless the entry VM was faulty at the time.
    pub(super) suspicions: Vec<(net::SocketAddr, Span, String)>,
    pub(super) queries: usize,
    pub(super) complete: usize,
    pub(super) violations: Vec<String>,
    pub(super) timeline: Vec<(time::Duration, String)>,
    pub(super) started: Option<time::Instant>,
}

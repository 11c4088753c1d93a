//! What a run has seen so far.

use std::{net, time};

/// Start and end of something.
pub(super) type Span = (time::Instant, time::Instant);

/// Record of a run, behind the lock of its checker.
#[derive(Default)]
pub(super) struct CheckerState {
    /// Greatest version of a configuration that was sent, and that was acknowledged.
    pub(super) sent: u64,
    pub(super) acknowledged: u64,
    /// Requests that may run once only, with the status of the answer.
    pub(super) singles: Vec<(String, Option<u16>)>,
    /// When entry VMs or the links to them were faulty.
    pub(super) faults: Vec<(net::SocketAddr, Span)>,
    /// What breaks a promise of an entry VM unless it was faulty then.
    pub(super) suspected: Vec<(net::SocketAddr, Span, String)>,
    pub(super) gathered: usize,
    pub(super) whole: usize,
    pub(super) violations: Vec<String>,
    pub(super) timeline: Vec<(time::Duration, String)>,
    pub(super) started: Option<time::Instant>,
}

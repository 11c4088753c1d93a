//! What the searchers counted.

use fireflyspool::{ids, sorted};

/// Load and limits at the searchers during a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SearcherReport {
    /// Searchers asked.
    pub searchers: usize,
    /// Searchers that did not answer at the end; their last known counters are used.
    pub unreachable: usize,
    /// Requests that began to run.
    pub run: u64,
    /// Runs that the requests required.
    pub needed: u64,
    /// Runs above the requirement, as a share of it; below zero if requests were coalesced.
    pub extra_load: f64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Requests stopped at their deadline.
    pub expired: u64,
    /// Requests refused, by HTTP status.
    pub refused: sorted::SortedMap<u16, u64>,
    /// Crashes.
    pub crashes: u64,
    /// Most requests running at once at one searcher.
    pub most_running: u32,
    /// Most requests waiting at once at one searcher; above zero, a slot limit was exceeded.
    pub most_queued: u32,
    /// Most connections at one searcher.
    pub most_connections: u32,
    /// Connections closed for the limit or while away.
    pub rejected_connections: u64,
    /// Most runs of all searchers in one second.
    pub busiest_second: u64,
    /// Most runs required by the requests of one second.
    pub busiest_needed: u64,
    /// Submissions that ran more than once.
    pub repeated: Vec<ids::RequestId>,
    /// Submissions reported as not run that ran.
    pub false_refusals: Vec<ids::RequestId>,
    /// Submissions reported as run that did not run.
    pub false_receipts: Vec<ids::RequestId>,
}

//! Results of one kind of request.

use fireflyspool::{outcome, sorted};

use crate::load;

/// Counts and latencies of one kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KindReport {
    /// Kind.
    pub kind: outcome::Kind,
    /// Requests of the schedule.
    pub intended: u64,
    /// Sufficient answers within the deadline.
    pub in_time: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Ends by name: outcomes, `insufficient`, `failed` and `unsent`.
    pub ends: sorted::SortedMap<String, u64>,
    /// Covered share of the shards of all intended requests; late answers cover nothing.
    pub covered_share: f64,
    /// Latency of answers, late ones included.
    pub answered: load::Latency,
    /// Latency of all intended requests; one without an answer counts at least its deadline.
    pub all: load::Latency,
    /// The same for requests intended within the window after a command.
    pub changing: load::Latency,
}

//! A request at a searcher.

use std::time;

use fireflyspool::ids;

use crate::searcher;

/// Request that waits or runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Where the answer goes.
    pub ticket: ids::Ticket,
    /// What is to run.
    pub work: searcher::Work,
    /// When its deadline passes.
    pub deadline: time::Instant,
    /// When it finishes; its arrival while it waits.
    pub finish: time::Instant,
}

//! Counters of a searcher.

use std::time;

use fireflyspool::{ids, sorted};

/// Seconds of which the requests run are kept; a day bounds the memory.
const KEPT_SECONDS: usize = 86_400;

/// What a searcher counted since its process started; restarts do not reset it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Name of the searcher.
    pub server: ids::ServerName,
    /// Requests that began to run.
    pub run: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests cancelled while waiting or running.
    pub cancelled: u64,
    /// Requests stopped at their deadline.
    pub expired: u64,
    /// Requests refused, by HTTP status.
    pub refused: sorted::SortedMap<u16, u64>,
    /// Crashes.
    pub crashes: u64,
    /// Most requests running at once.
    pub most_running: u32,
    /// Most requests waiting at once.
    pub most_queued: u32,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub most_connections: u32,
    /// Connections closed for the limit or while away.
    pub rejected_connections: u64,
    /// Unix second of the first element of `by_second`.
    pub first_second: u64,
    /// Requests that began to run, by second.
    pub by_second: Vec<u32>,
    /// Times that each submission ran, by request id.
    pub submissions: sorted::SortedMap<ids::RequestId, u32>,
}

impl Counters {
    /// Counters of a searcher that starts now.
    pub fn new(server: ids::ServerName, unix: time::Duration) -> Self {
        Self {
            server,
            first_second: unix.as_secs(),
            ..Self::default()
        }
    }

    /// Counts a request that begins to run.
    pub fn count_run(&mut self, unix: time::Duration) {
        self.run += 1;
        let second = unix.as_secs().saturating_sub(self.first_second);
        let second = usize::try_from(second).unwrap_or(KEPT_SECONDS);
        if second < KEPT_SECONDS {
            if self.by_second.len() <= second {
                self.by_second.resize(second + 1, 0);
            }
            self.by_second[second] += 1;
        }
    }

    /// Counts a refusal.
    pub fn count_refused(&mut self, status: u16) {
        *self.refused.get_or_insert_with(status, || 0) += 1;
    }

    /// Counts a submission that begins to run.
    pub fn count_submission(&mut self, request: &str) {
        *self
            .submissions
            .get_or_insert_with(request.to_owned(), || 0) += 1;
    }
}

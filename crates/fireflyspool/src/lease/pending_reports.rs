//! Crashes and suspects that no leader has acknowledged.

use crate::{ids, roster};

#[derive(Clone, Debug)]
struct PendingReport<T> {
    content: T,
    /// Number of the first request that contained it.
    sent: Option<u64>,
}

impl<T> PendingReport<T> {
    fn is_unacknowledged(&self, handled: u64) -> bool {
        self.sent.is_none_or(|sent| sent > handled)
    }
}

/// Reports that are repeated in every request until one of these is acknowledged by a reply.
#[derive(Clone, Debug)]
pub(super) struct PendingReports {
    crashes: Vec<PendingReport<roster::Crash>>,
    suspects: Vec<PendingReport<(ids::Fingerprint, u32)>>,
    limit: usize,
}

impl PendingReports {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            crashes: Vec::new(),
            suspects: Vec::new(),
            limit,
        }
    }

    /// Adds a crash; the oldest one is dropped if there are too many.
    pub(super) fn add(&mut self, crash: roster::Crash) {
        if self.crashes.iter().any(|report| report.content == crash) {
            return;
        }
        if self.crashes.len() >= self.limit {
            self.crashes.remove(0);
        }
        self.crashes.push(PendingReport {
            content: crash,
            sent: None,
        });
    }

    /// Replaces the suspects to report to a new leader.
    pub(super) fn inherit(&mut self, suspects: impl Iterator<Item = (ids::Fingerprint, u32)>) {
        let report = |content| PendingReport {
            content,
            sent: None,
        };
        self.suspects = suspects.map(report).collect();
    }

    /// Adds all reports to a request.
    pub(super) fn add_to(&mut self, request: &mut roster::RenewRequest) {
        for report in &mut self.crashes {
            report.sent.get_or_insert(request.number);
            request.crashes.push(report.content.clone());
        }
        for report in &mut self.suspects {
            report.sent.get_or_insert(request.number);
            request.suspects.push(report.content);
        }
    }

    /// Drops the reports that a leader has read; `handled` is the number of a granted request.
    pub(super) fn acknowledge(&mut self, handled: u64) {
        self.crashes
            .retain(|report| report.is_unacknowledged(handled));
        self.suspects
            .retain(|report| report.is_unacknowledged(handled));
    }
}

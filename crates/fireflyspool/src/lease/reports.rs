//! Deaths and suspects that a leader has yet to confirm.

use crate::{ids, roster};

#[derive(Clone, Debug)]
struct Report<T> {
    content: T,
    sent: Option<u64>,
}

impl<T> Report<T> {
    fn is_open(&self, handled: u64) -> bool {
        self.sent.is_none_or(|sent| sent > handled)
    }
}

/// Reports repeated in every request until a reply shows that the leader has read one.
#[derive(Clone, Debug)]
pub(super) struct Reports {
    crashes: Vec<Report<roster::Crash>>,
    suspects: Vec<Report<(ids::Fingerprint, u32)>>,
    limit: usize,
}

impl Reports {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            crashes: Vec::new(),
            suspects: Vec::new(),
            limit,
        }
    }

    /// Adds a death; the oldest report is dropped when there are too many.
    pub(super) fn add(&mut self, crash: roster::Crash) {
        if self.crashes.iter().any(|report| report.content == crash) {
            return;
        }
        if self.crashes.len() >= self.limit {
            self.crashes.remove(0);
        }
        self.crashes.push(Report {
            content: crash,
            sent: None,
        });
    }

    /// Replaces the suspects to report to a new leader.
    pub(super) fn inherit(&mut self, suspects: impl Iterator<Item = (ids::Fingerprint, u32)>) {
        let report = |content| Report {
            content,
            sent: None,
        };
        self.suspects = suspects.map(report).collect();
    }

    /// Adds all open reports to a request.
    pub(super) fn fill(&mut self, request: &mut roster::RenewRequest) {
        for report in &mut self.crashes {
            report.sent.get_or_insert(request.number);
            request.crashes.push(report.content.clone());
        }
        for report in &mut self.suspects {
            report.sent.get_or_insert(request.number);
            request.suspects.push(report.content);
        }
    }

    /// Drops what the leader has read; `handled` is the number of a granted request.
    pub(super) fn confirm(&mut self, handled: u64) {
        self.crashes.retain(|report| report.is_open(handled));
        self.suspects.retain(|report| report.is_open(handled));
    }
}

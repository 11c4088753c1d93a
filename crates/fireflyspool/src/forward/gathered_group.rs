//! Progress of a group that is gathered for another entry VM.

use std::time;

/// Answers that were given and when the next one is due.
#[derive(Debug)]
pub(super) struct GatheredGroup {
    /// Time after the first attempts are written at which the first answer is due; `None` once
    /// they are.
    pub(super) wait: Option<time::Duration>,
    /// When the first answer is due; `None` before the attempts are written and after it.
    pub(super) report_at: Option<time::Instant>,
    /// For each shard, whether an answer has had it.
    pub(super) reported: Vec<bool>,
}

impl GatheredGroup {
    /// A group of `shards` shards whose first answer is due `wait` after the attempts are
    /// written.
    pub(super) fn new(wait: time::Duration, shards: usize) -> Self {
        Self {
            wait: Some(wait),
            report_at: None,
            reported: vec![false; shards],
        }
    }

    /// Handles that attempts are written; only the first time counts.
    pub(super) fn written(&mut self, now: time::Instant) {
        if let Some(wait) = self.wait.take() {
            self.report_at = Some(now + wait);
        }
    }
}

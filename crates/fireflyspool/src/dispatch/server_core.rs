//! Data of a backend server in every life cycle state.

use std::{collections, net, time};

use crate::dispatch::{connections, share_credit, target};
use crate::{backend, ids};

/// Latest service times kept per backend server, for its median.
const RECENT_SAMPLES: usize = 8;

/// Failures in a row after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Length of the first ejection; each further one lasts twice as long.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(1);

/// Most doublings of an ejection, which limits it to 32 seconds.
const MAX_DOUBLINGS: u32 = 5;

/// Part of an owned backend server that life cycle transitions carry over.
#[derive(Debug)]
pub(super) struct ServerCore {
    pub(super) name: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
    pub(super) address: net::SocketAddr,
    pub(super) slots: u32,
    /// Whether the view allows new work for it.
    pub(super) eligible: bool,
    pub(super) targets: Vec<target::TargetKey>,
    /// Announced shards, from which `targets` was made.
    pub(super) hosted: Vec<backend::HostedShard>,
    /// Sequence number of the latest announcement.
    pub(super) announced_sequence: u64,
    /// Shards that it refused since that announcement, because it does not host them.
    pub(super) not_hosted: Vec<backend::HostedShard>,
    /// Attempts that hold a permit.
    pub(super) attempts: Vec<ids::AttemptId>,
    pub(super) connections: connections::Connections,
    pub(super) credit: share_credit::ShareCredit,
    pub(super) backoff_until: Option<time::Instant>,
    pub(super) ejected_until: Option<time::Instant>,
    ejections: u32,
    failures: u32,
    recent: collections::VecDeque<time::Duration>,
}

impl ServerCore {
    pub(super) fn new(
        name: ids::ServerName,
        incarnation: ids::Incarnation,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            name,
            incarnation,
            address,
            slots: 0,
            eligible: false,
            targets: Vec::new(),
            hosted: Vec::new(),
            announced_sequence: 0,
            not_hosted: Vec::new(),
            attempts: Vec::new(),
            connections: connections::Connections::default(),
            credit: share_credit::ShareCredit::default(),
            backoff_until: None,
            ejected_until: None,
            ejections: 0,
            failures: 0,
            recent: collections::VecDeque::new(),
        }
    }

    /// Whether it announced a shard and did not refuse it since; true for `None`, a submission.
    pub(super) fn serves(&self, shard: Option<&backend::HostedShard>) -> bool {
        shard.is_none_or(|shard| self.hosted.contains(shard) && !self.not_hosted.contains(shard))
    }

    /// Permits in use.
    pub(super) fn busy(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// End of its backoff or ejection, whichever is later; `None` if it has neither.
    pub(super) fn blocked_until(&self, now: time::Instant) -> Option<time::Instant> {
        let later = self.backoff_until.max(self.ejected_until);
        later.filter(|until| now < *until)
    }

    pub(super) fn is_backing_off(&self, now: time::Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_ejected(&self, now: time::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the service time of an answer and ends the run of failures.
    pub(super) fn record_answer(&mut self, elapsed: time::Duration) {
        self.failures = 0;
        if self.recent.len() >= RECENT_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(elapsed);
    }

    /// Counts a failure; returns whether there are enough in a row to eject the server.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT
    }

    /// Ejects it; the length doubles with every ejection.
    pub(super) fn eject(&mut self, now: time::Instant, jitter: time::Duration) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + BASE_EJECTION * factor + jitter);
    }

    /// Resets the counts of failures and ejections.
    pub(super) fn reset_failures(&mut self) {
        self.ejections = 0;
        self.failures = 0;
    }

    /// Median of its latest service times; `None` until there are [`RECENT_SAMPLES`].
    pub(super) fn recent_median(&self) -> Option<time::Duration> {
        if self.recent.len() < RECENT_SAMPLES {
            return None;
        }
        let mut times = [time::Duration::ZERO; RECENT_SAMPLES];
        for (time, elapsed) in times.iter_mut().zip(&self.recent) {
            *time = *elapsed;
        }
        times.sort_unstable();
        Some(times[RECENT_SAMPLES / 2])
    }

    pub(super) fn clear_recent(&mut self) {
        self.recent.clear();
    }
}

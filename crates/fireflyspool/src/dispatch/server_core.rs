//! What is known of a backend server in every state.

use std::{collections, net, time};

use crate::dispatch::{connections, low_credit, target};
use crate::{backend, ids};

/// Latest service times kept per backend server.
const RECENT: usize = 8;

/// Failures in a row after which a backend server is ejected.
const EJECT_AFTER: u32 = 3;

/// First ejection; each further one lasts twice as long.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(1);

/// Most doublings of an ejection, which bounds it at 32 seconds.
const MOST_DOUBLINGS: u32 = 5;

/// State of an owned backend server that outlives its transitions.
#[derive(Debug)]
pub(super) struct ServerCore {
    pub(super) name: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
    pub(super) address: net::SocketAddr,
    pub(super) slots: u32,
    /// Whether the view lets it receive new work.
    pub(super) eligible: bool,
    pub(super) targets: Vec<target::TargetKey>,
    /// Hosted shards that `targets` was made from.
    pub(super) hosted: Vec<backend::HostedShard>,
    /// Sequence of the latest announcement.
    pub(super) announced: u64,
    /// Shards that it denied hosting since that announcement.
    pub(super) denied: Vec<backend::HostedShard>,
    /// Attempts that hold a permit.
    pub(super) attempts: Vec<ids::AttemptId>,
    pub(super) connections: connections::Connections,
    pub(super) credit: low_credit::LowCredit,
    pub(super) rest_until: Option<time::Instant>,
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
            announced: 0,
            denied: Vec::new(),
            attempts: Vec::new(),
            connections: connections::Connections::default(),
            credit: low_credit::LowCredit::default(),
            rest_until: None,
            ejected_until: None,
            ejections: 0,
            failures: 0,
            recent: collections::VecDeque::new(),
        }
    }

    /// Whether it hosts a shard and has not denied it; `None` stands for a submission.
    pub(super) fn serves(&self, shard: Option<&backend::HostedShard>) -> bool {
        shard.is_none_or(|shard| self.hosted.contains(shard) && !self.denied.contains(shard))
    }

    /// Permits in use.
    pub(super) fn busy(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// End of its rest or ejection, whichever is later; `None` if it has neither.
    pub(super) fn blocked_until(&self, now: time::Instant) -> Option<time::Instant> {
        let later = self.rest_until.max(self.ejected_until);
        later.filter(|until| now < *until)
    }

    pub(super) fn is_resting(&self, now: time::Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_ejected(&self, now: time::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Takes note of an answer and its service time.
    pub(super) fn record_answer(&mut self, elapsed: time::Duration) {
        self.failures = 0;
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(elapsed);
    }

    /// Takes note of a failure; returns whether it is due to be ejected.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_AFTER
    }

    /// Ejects it for a time that doubles with every ejection.
    pub(super) fn eject(&mut self, now: time::Instant, jitter: time::Duration) {
        let factor = 1 << self.ejections.min(MOST_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + FIRST_EJECTION * factor + jitter);
    }

    /// Ends the memory of ejections after it has proved itself.
    pub(super) fn forgive(&mut self) {
        self.ejections = 0;
        self.failures = 0;
    }

    /// Median of its latest service times; `None` until there are enough of them.
    pub(super) fn recent_median(&self) -> Option<time::Duration> {
        if self.recent.len() < RECENT {
            return None;
        }
        let mut times = [time::Duration::ZERO; RECENT];
        for (place, elapsed) in times.iter_mut().zip(&self.recent) {
            *place = *elapsed;
        }
        times.sort_unstable();
        Some(times[RECENT / 2])
    }

    pub(super) fn forget_recent(&mut self) {
        self.recent.clear();
    }
}

//! Rollout of one service as an entry VM takes part in it.

use std::time;

use crate::{fleet, hashing, ids, rollout, sorted};

/// Multiple of the usual latency of a route from which on a response is slow, besides
/// [`SETUP_TIME`].
const SLOW_FACTOR: f64 = 2.0;

/// Time that a new connection takes. The target version gets few requests, so more of them wait
/// for a connection than those to the old version.
const SETUP_TIME: time::Duration = time::Duration::from_millis(8);

/// Share of the target version and the first attempts that are counted.
#[derive(Debug)]
pub(super) struct PoolRollout {
    pub(super) rollout: rollout::AnyRollout,
    /// First attempts that the target version is owed, at most 1. It begins between 0 and 1 at
    /// random, so that the rounding of all entry VMs together is small.
    credit: f64,
    /// Server of the target version, or `None` for the old one, by running first attempt.
    running: sorted::SortedMap<ids::Ticket, Option<ids::ServerName>>,
}

impl PoolRollout {
    /// Starts to take part; `incarnation` is this VM's.
    pub(super) fn new(
        rollout: rollout::AnyRollout,
        service: &str,
        incarnation: ids::Incarnation,
    ) -> Self {
        let hasher = hashing::StableHasher::new().number(incarnation);
        let hash = hasher.number(rollout.number()).text(service).finish();
        Self {
            credit: (hash >> 40) as f64 / f64::from(1 << 24),
            rollout,
            running: sorted::SortedMap::new(),
        }
    }

    /// Whether the next first attempt belongs to the target version.
    pub(super) fn owes_target(&self) -> bool {
        // The credit may be full at the end of the rollout.
        self.share().is_some_and(|share| self.credit + share >= 1.0)
    }

    /// Counts a first attempt that starts at a server.
    pub(super) fn start(&mut self, token: ids::Ticket, server: &str, is_target: bool) {
        let Some(share) = self.share() else {
            return;
        };
        self.credit = (self.credit + share).min(1.0);
        if is_target {
            self.credit -= 1.0;
        }
        let server = is_target.then(|| server.to_owned());
        self.running.insert(token, server);
    }

    /// Ends an attempt; returns what is to be counted, unless it is none of the first ones or
    /// says nothing about its version. `typical` is the usual latency of its route.
    pub(super) fn end(
        &mut self,
        token: ids::Ticket,
        result: fleet::AttemptResult,
        typical: time::Duration,
    ) -> Option<(Option<ids::ServerName>, rollout::Quality)> {
        let server = self.running.remove(&token)?;
        let is_slow = |elapsed: time::Duration| elapsed > typical.mul_f64(SLOW_FACTOR) + SETUP_TIME;
        let quality = match result {
            fleet::AttemptResult::Answered { elapsed } if !is_slow(elapsed) => {
                rollout::Quality::Good
            }
            fleet::AttemptResult::Answered { .. } => rollout::Quality::Slow,
            fleet::AttemptResult::Abandoned { elapsed } if is_slow(elapsed) => {
                rollout::Quality::Slow
            }
            fleet::AttemptResult::Failed => rollout::Quality::Failed,
            // An overloaded server of either version refuses requests.
            fleet::AttemptResult::Rejected
            | fleet::AttemptResult::Full
            | fleet::AttemptResult::Unreachable
            | fleet::AttemptResult::Abandoned { .. } => return None,
        };
        Some((server, quality))
    }

    /// Share of the target version; `None` if the rollout has ended.
    fn share(&self) -> Option<f64> {
        match &self.rollout {
            rollout::AnyRollout::InService(rollout) => {
                Some(f64::from(rollout.state.share) / 1_000.0)
            }
            _ => None,
        }
    }
}

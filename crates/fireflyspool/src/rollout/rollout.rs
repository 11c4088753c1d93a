//! Life cycle of a rollout.

use std::time;

use crate::{ids, rollout};

/// Rollout of a service; `S` is its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Rollout<S> {
    /// Revision of the table that started it; identifies it among those of all services.
    pub number: ids::Revision,
    /// Version to which the traffic moves.
    pub target: ids::ServerVersion,
    /// Time until it must have ended.
    pub duration: time::Duration,
    /// Time of the command by the clock of the log, in milliseconds since the Unix epoch.
    pub started: u64,
    /// State of the life cycle.
    pub state: S,
}

/// Time from the completion until the old servers may stop: entry VMs learn of it meanwhile.
const SWITCH_TIME: time::Duration = time::Duration::from_millis(500);

/// Part of the duration that it takes at most. All requests go to the target version already,
/// and this part of them is less than what the highest share leaves of the allowed exposure.
const SWITCH_PART: u32 = 60;

impl Rollout<rollout::Completed> {
    /// Whether entry VMs have had time to learn of it, so that the old servers may stop; always
    /// at the deadline.
    pub fn is_settled(&self, wall_clock: u64) -> bool {
        let since = |at| time::Duration::from_millis(wall_clock.saturating_sub(at));
        since(self.state.ended) >= SWITCH_TIME.min(self.duration / SWITCH_PART)
            || since(self.started) >= self.duration
    }
}

impl Rollout<rollout::InService> {
    /// Starts a rollout at a time in milliseconds since the Unix epoch.
    pub fn start(number: ids::Revision, start: &rollout::Start, started: u64) -> Self {
        Self {
            number,
            target: start.target.clone(),
            duration: start.duration,
            started,
            state: rollout::InService { share: start.share },
        }
    }

    /// Raises the share of the target version; never lowers it.
    #[must_use]
    pub fn raise(mut self, share: u32) -> Self {
        self.state.share = self.state.share.max(share);
        self
    }

    /// Moves all traffic to the target version.
    pub fn complete(self, ended: u64) -> Rollout<rollout::Completed> {
        self.end(rollout::Completed { ended })
    }

    /// Moves all traffic to the old version.
    pub fn roll_back(self, ended: u64, reason: rollout::Reason) -> Rollout<rollout::RolledBack> {
        self.end(rollout::RolledBack { ended, reason })
    }

    /// Time since the command; zero if the clock of this VM is behind.
    pub fn elapsed(&self, wall_clock: u64) -> time::Duration {
        time::Duration::from_millis(wall_clock.saturating_sub(self.started))
    }

    fn end<S>(self, state: S) -> Rollout<S> {
        Rollout {
            number: self.number,
            target: self.target,
            duration: self.duration,
            started: self.started,
            state,
        }
    }
}

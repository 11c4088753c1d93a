//! Rollout in any state.

use crate::{ids, rollout};

/// Rollout as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnyRollout {
    /// Both versions serve.
    InService(rollout::Rollout<rollout::InService>),
    /// Only the target version serves.
    Completed(rollout::Rollout<rollout::Completed>),
    /// Only the old version serves.
    RolledBack(rollout::Rollout<rollout::RolledBack>),
}

impl AnyRollout {
    /// Number of the rollout.
    pub fn number(&self) -> ids::Revision {
        match self {
            Self::InService(rollout) => rollout.number,
            Self::Completed(rollout) => rollout.number,
            Self::RolledBack(rollout) => rollout.number,
        }
    }

    /// Version to which the traffic moves or was to move.
    pub fn target(&self) -> &ids::ServerVersion {
        match self {
            Self::InService(rollout) => &rollout.target,
            Self::Completed(rollout) => &rollout.target,
            Self::RolledBack(rollout) => &rollout.target,
        }
    }

    /// Whether the command that started this rollout is the same, whenever it was sent.
    pub fn is_repeated_by(&self, start: &rollout::Start) -> bool {
        let duration = match self {
            Self::InService(rollout) => rollout.duration,
            Self::Completed(rollout) => rollout.duration,
            Self::RolledBack(rollout) => rollout.duration,
        };
        *self.target() == start.target && duration == start.duration
    }

    /// Applies a step at a time in milliseconds since the Unix epoch; an ended rollout stays as
    /// it is, and a rollout is not completed after its deadline.
    #[must_use]
    pub fn advance(self, step: rollout::Step, now: u64) -> Self {
        let Self::InService(rollout) = self else {
            return self;
        };
        match step {
            rollout::Step::Raise { share } => Self::InService(rollout.raise(share)),
            rollout::Step::Complete if rollout.elapsed(now) <= rollout.duration => {
                Self::Completed(rollout.complete(now))
            }
            rollout::Step::RollBack { reason } => Self::RolledBack(rollout.roll_back(now, reason)),
            rollout::Step::Hold | rollout::Step::Complete => Self::InService(rollout),
        }
    }
}

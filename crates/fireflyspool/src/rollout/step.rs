//! Decision on a rollout in progress.

use crate::rollout;

/// What to do with a rollout now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Leave it as it is.
    Hold,
    /// Raise the share of the target version.
    Raise {
        /// New share in permille; a lower one than the current has no effect.
        share: u32,
    },
    /// Move all traffic to the target version.
    Complete,
    /// Move all traffic to the old version.
    RollBack {
        /// Why.
        reason: rollout::Reason,
    },
}

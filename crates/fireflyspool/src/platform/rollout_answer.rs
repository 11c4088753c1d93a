//! Wire format of the state of a rollout.

use crate::{ids, rollout};

/// Body of the answer to a read.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RolloutAnswer<'a> {
    state: &'static str,
    #[serde(rename = "TargetVersion")]
    target: &'a ids::ServerVersion,
}

impl<'a> RolloutAnswer<'a> {
    /// Describes a rollout at a time in milliseconds since the Unix epoch.
    ///
    /// The old servers stop at the answer `completed`, so it is given only once entry VMs have
    /// had time to learn of it.
    pub(super) fn of(rollout: &'a rollout::AnyRollout, wall_clock: u64) -> Self {
        let state = match rollout {
            rollout::AnyRollout::InService(_) => "in_service",
            rollout::AnyRollout::Completed(rollout) if !rollout.is_settled(wall_clock) => {
                "in_service"
            }
            rollout::AnyRollout::Completed(_) => "completed",
            rollout::AnyRollout::RolledBack(_) => "rolled_back",
        };
        let target = rollout.target();
        Self { state, target }
    }
}

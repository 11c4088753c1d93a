//! Wire format of the command that starts a rollout.

use std::time;

use crate::ids;

/// Body of the command.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RolloutWire {
    /// Service, which the wire calls a backend.
    #[serde(rename = "Backend")]
    pub(super) service: ids::ServiceName,
    #[serde(rename = "TargetVersion")]
    pub(super) target: ids::ServerVersion,
    #[serde(rename = "DurationS")]
    seconds: f64,
}

impl RolloutWire {
    /// Duration of the rollout; `None` if it is not above zero and at most a day.
    pub(super) fn duration(&self) -> Option<time::Duration> {
        const LONGEST: f64 = 24.0 * 3_600.0;
        let valid = self.seconds > 0.0 && self.seconds <= LONGEST;
        valid.then(|| time::Duration::from_secs_f64(self.seconds))
    }
}

//! Results of idempotent commands.

use crate::{configuration, ids, rollout};

/// Outcome of an idempotent command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotentOutcome {
    /// The command is in the log, whether or not it changed anything.
    Accepted,
    /// The zone was changed after the revision that the order states; it has no effect.
    Overtaken {
        /// Current revision of the catalog.
        revision: ids::Revision,
    },
    /// The number of the VM was retired; it must join under a new one.
    Retired,
    /// The departures are recorded.
    Recorded {
        /// Revision of the table of departures.
        revision: ids::Revision,
    },
    /// There is no room for all departures, and none is recorded.
    Full,
    /// Another rollout of the service is in progress; the command has no effect.
    RolloutInProgress,
    /// Latest rollout of the service; `None` if there was none.
    Rollout(Option<rollout::AnyRollout>),
    /// Result of a read; `None` if no routing configuration was set.
    Document(Option<configuration::Document>),
}

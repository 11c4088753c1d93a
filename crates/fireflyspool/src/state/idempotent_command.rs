//! Commands without a number.

use std::net;

use crate::{configuration, ids, registry, rollout};

/// Command that may be repeated without a number.
///
/// Unlike a [`crate::state::Command`] it needs no receipt: its effect depends
/// only on the state, so a resend finds it done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotentCommand {
    /// Replaces the routing configuration if its version is higher.
    Configure(configuration::Document),
    /// Takes an availability zone out of service.
    TakeOutZone {
        /// Zone that receives no new work.
        zone: ids::ZoneName,
        /// Catalog revision that was known when the order came; `None` if it always counts.
        #[serde(default)]
        known: Option<ids::Revision>,
    },
    /// Brings an availability zone back into service.
    BringBackZone {
        /// Zone that receives work again.
        zone: ids::ZoneName,
        /// Catalog revision that was known when the order came; `None` if it always counts.
        #[serde(default)]
        known: Option<ids::Revision>,
    },
    /// Adds a VM to the control group; an earlier one at its address is removed.
    Join {
        /// Number of the VM.
        node: ids::NodeId,
        /// Incarnation of its data folder.
        incarnation: ids::Incarnation,
        /// Address of its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Removes a VM from the control group.
    Retire {
        /// Number of the VM.
        node: ids::NodeId,
    },
    /// Records that a VM of the control group was told to stop.
    Leave {
        /// Address of its listener for other processes of the tier.
        rpc: net::SocketAddr,
    },
    /// Records how many voters of the control group are live together.
    Resize {
        /// Number of voters.
        size: usize,
    },
    /// Records that backend servers leave.
    ///
    /// The reply states the revision of the table; a VM that has applied it holds all departures
    /// that were recorded before. A command without departures only asks for it.
    RecordDepartures {
        /// Departures to record.
        departures: Vec<registry::Departure>,
        /// Time at the sender, in milliseconds since the Unix epoch.
        stamped: u64,
    },
    /// Starts to move a service to the backend servers of another version.
    StartRollout {
        /// Service whose traffic moves.
        service: ids::ServiceName,
        /// Target, duration and time of the command.
        start: rollout::Start,
    },
    /// Raises the share of a rollout in progress, or ends the rollout.
    AdvanceRollout {
        /// Service of the rollout.
        service: ids::ServiceName,
        /// Number of the rollout; another one is not affected.
        number: ids::Revision,
        /// What the collector decided.
        step: rollout::Step,
        /// Time at the sender, in milliseconds since the Unix epoch.
        stamped: u64,
    },
    /// Reads the latest rollout of a service, through the log like [`Self::Read`].
    ReadRollout {
        /// Service of the rollout.
        service: ids::ServiceName,
    },
    /// Reads the routing configuration.
    ///
    /// The read passes through the log, so that a leader that was replaced
    /// without noticing does not return an old one.
    Read,
}

impl IdempotentCommand {
    /// States the catalog revision that is known where an order about a zone came in; other
    /// commands stay as they are.
    #[must_use]
    pub fn with_known_revision(self, revision: ids::Revision) -> Self {
        let known = Some(revision);
        match self {
            Self::TakeOutZone { zone, .. } => Self::TakeOutZone { zone, known },
            Self::BringBackZone { zone, .. } => Self::BringBackZone { zone, known },
            other => other,
        }
    }
}

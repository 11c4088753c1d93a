//! Reply to the poll of an entry VM.

use crate::{configuration, containment, hub, ids, registry, state};

/// Changes that an entry VM lacks, and the current state of its hub.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FollowReply {
    /// Incarnation of the replying hub.
    pub incarnation: ids::Incarnation,
    /// Whether the hub reaches a majority of the control VMs and does not lag behind them.
    pub current: bool,
    /// Age in milliseconds, when the reply is created, of the evidence that the hub holds every
    /// acknowledged configuration; absent without evidence, and from earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evidence_ms: Option<u64>,
    /// Configuration; absent if the entry VM has this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<configuration::Document>,
    /// Zones taken out; absent if the entry VM has this revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<hub::ZonesOut>,
    /// Rollouts; absent if the entry VM has this revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<state::RolloutTable>,
    /// Backend servers that changed since the position of the poll. If that position belongs
    /// to another hub, all of them, or none if the poll wants none.
    pub changes: registry::ChangeSet,
    /// Latest heartbeats of those suspended servers of the poll that serve and need no
    /// slow start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmations: Vec<hub::Confirmation>,
    /// Revision of the list of outliers.
    pub outlier_revision: u64,
    /// All backend servers on the list of outliers, ascending; empty if the poll wants no records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outliers: Vec<ids::ServerName>,
    /// Position in the hub's contents that crash servers.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub content_position: u64,
    /// Those that changed since the position of the poll, or all like `changes`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contents: Vec<containment::Record>,
    /// Number of live, ready entry VMs.
    pub members: usize,
    /// Entry VMs to which the polling one may delegate, preferred ones first; absent if their
    /// checksum is the one in the poll.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delegates: Option<Vec<hub::Delegate>>,
    /// Reachable control VMs, the replying one included; absent if their checksum is the one
    /// in the poll.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hubs: Option<Vec<hub::HubInfo>>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

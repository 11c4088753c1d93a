//! Counts of one entry VM.

use crate::{ids, rollout};

/// All that an entry VM has counted since it knows of a rollout.
///
/// The counts are cumulative, so a lost report or a new collector loses nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Incarnation of the entry VM.
    pub member: ids::Incarnation,
    /// Service of the rollout.
    pub service: ids::ServiceName,
    /// Number of the rollout.
    pub number: ids::Revision,
    /// Counts by route and server.
    pub cells: Vec<rollout::Cell>,
}

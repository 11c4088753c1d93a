//! Response to one first attempt.

use crate::{ids, rollout};

/// What an entry VM counts when a first attempt ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Service of the rollout.
    pub service: ids::ServiceName,
    /// Number of the rollout.
    pub number: ids::Revision,
    /// Name of the route.
    pub route: String,
    /// Backend server of the target version; `None` for the old one.
    pub server: Option<ids::ServerName>,
    /// How the response turned out.
    pub quality: rollout::Quality,
}

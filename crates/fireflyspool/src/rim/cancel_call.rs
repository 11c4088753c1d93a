//! Cancellation of sub-requests at an owner.

use crate::ids;

/// Sub-requests of one service that a coordinator no longer needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelCall {
    /// Entry VM that coordinates the request.
    pub coordinator: ids::NodeId,
    /// Incarnation of that entry VM's process.
    pub incarnation: ids::Incarnation,
    /// Service of the sub-requests.
    pub service: ids::ServiceName,
    /// Sub-requests to cancel.
    pub subs: Vec<ids::SubRequestId>,
}

//! Cancellation of sub-requests at an owner.

use crate::ids;

/// Sub-requests of one service that a coordinator no longer needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CancelCall {
    /// Entry VM that coordinates the request.
    pub coordinator: ids::NodeId,
    /// Incarnation of the coordinator's process.
    pub incarnation: ids::Incarnation,
    /// Service to which the sub-requests belong.
    pub service: ids::ServiceName,
    /// Sub-requests to cancel.
    pub subs: Vec<ids::SubRequestId>,
}

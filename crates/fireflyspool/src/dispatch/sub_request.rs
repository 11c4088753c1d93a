//! Part of a request for one backend server.

use std::time;

use crate::{dispatch, ids, outcome};

/// Work that the owner places on one of its backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubRequest {
    /// Number of this sub-request at its coordinator.
    pub sub: ids::SubRequestId,
    /// Entry VM that coordinates the request.
    pub coordinator: ids::NodeId,
    /// Incarnation of that entry VM's process.
    pub incarnation: ids::Incarnation,
    /// Request of the caller.
    pub request: ids::RequestId,
    /// Hash of the content, the same for every shard and every resend.
    pub fingerprint: ids::Fingerprint,
    /// Service whose backend servers may run it.
    pub service: ids::ServiceName,
    /// Priority class.
    pub kind: outcome::Kind,
    /// Whether this is a hedge, which is queued ahead of first attempts.
    pub hedge: bool,
    /// Time until the deadline, measured when the coordinator sent this.
    pub remaining: time::Duration,
    /// Backend servers that the coordinator has tried and that must not be used.
    pub excluded: Vec<ids::ServerName>,
    /// Search or submission to run.
    pub work: dispatch::Work,
}

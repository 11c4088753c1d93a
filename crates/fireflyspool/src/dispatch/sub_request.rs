//! Part of a request that goes to one backend server.

use std::time;

use crate::{dispatch, ids, outcome};

/// Work for one backend server, chosen by the owner among those it owns.
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
    /// Whether this is a hedge, which goes ahead of first attempts.
    pub hedge: bool,
    /// Time left when this was sent.
    pub remaining: time::Duration,
    /// Backend servers that must not be used, because they were tried before.
    pub excluded: Vec<ids::ServerName>,
    /// Content.
    pub work: dispatch::Work,
}

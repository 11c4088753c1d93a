//! Set of backend servers that can serve a sub-request.

use crate::backend;

/// Requirement of a sub-request on its backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Any backend server of the service.
    Any,
    /// A backend server that hosts the shard.
    Shard(backend::HostedShard),
}

/// Index of a target in the backlog; reused after its removal.
pub(super) type TargetKey = usize;

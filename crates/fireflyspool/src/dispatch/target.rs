//! Need of a sub-request.

use crate::backend;

/// What a sub-request needs from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Any backend server of the service.
    Any,
    /// A backend server that hosts the shard.
    Shard(backend::HostedShard),
}

/// Number of a target at this dispatcher.
pub(super) type TargetKey = usize;

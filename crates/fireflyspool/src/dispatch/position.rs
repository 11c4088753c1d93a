//! Position of a waiting sub-request.

use crate::dispatch::{queue_key, target};
use crate::outcome;

/// Where a waiting sub-request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    pub(super) target: target::TargetKey,
    pub(super) kind: outcome::Kind,
    pub(super) key: queue_key::QueueKey,
}

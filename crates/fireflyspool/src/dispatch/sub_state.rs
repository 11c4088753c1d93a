//! State of an accepted sub-request.

use crate::dispatch::backlog;
use crate::ids;

/// Whether an accepted sub-request waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubState {
    Waiting(backlog::EntryIndex),
    Running(ids::AttemptId),
}

//! Place of an accepted sub-request.

use crate::dispatch::backlog;
use crate::ids;

/// Where an accepted sub-request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    Waiting(backlog::Position),
    Running(ids::AttemptId),
}

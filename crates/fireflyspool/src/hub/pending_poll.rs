//! Poll of an entry VM that is not answered yet.

use std::time;

use crate::{hub, ids};

/// Poll that is held until there are changes or its deadline passes.
pub(super) struct PendingPoll {
    pub(super) ticket: ids::Ticket,
    pub(super) request: hub::FollowRequest,
    pub(super) deadline: time::Instant,
}

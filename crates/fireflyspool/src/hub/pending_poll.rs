//! Poll without an answer.

use std::time;

use crate::{hub, ids};

/// Poll that waits for news.
pub(super) struct PendingPoll {
    pub(super) ticket: ids::Ticket,
    pub(super) request: hub::FollowRequest,
    pub(super) until: time::Instant,
}

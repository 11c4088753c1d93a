//! Progress of one shard of a query.

use std::time;

use crate::{gather, ids};

/// Attempts and result of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardProgress {
    pub(super) state: gather::shard_state::ShardState,
    /// At most two: an attempt and its hedge.
    pub(super) attempts: Vec<gather::attempt::Attempt>,
    /// Whether a hedge was sent.
    pub(super) hedged: bool,
    /// When a hedge is considered; `None` once one was sent.
    pub(super) hedge_at: Option<time::Instant>,
    /// Owners that were tried, one entry per attempt.
    pub(super) tried: Vec<ids::NodeId>,
    /// Backend servers that failed; further attempts exclude them.
    pub(super) excluded: Vec<ids::ServerName>,
    /// Whether the owner named the backend server in the last failure.
    pub(super) server_named: bool,
    /// Attempts that failed and may have run.
    pub(super) failures: u32,
    /// Failures that were connection resets.
    pub(super) resets: u32,
    /// Whether a retry waits for the result of the probe, see
    /// [`gather::suspicion::Suspicion::Probing`].
    pub(super) parked: bool,
    /// Whether an owner stated that the version is not hosted.
    pub(super) not_hosted: bool,
}

impl ShardProgress {
    pub(super) fn new() -> Self {
        Self {
            state: gather::shard_state::ShardState::Open,
            attempts: Vec::new(),
            hedged: false,
            hedge_at: None,
            tried: Vec::new(),
            excluded: Vec::new(),
            server_named: false,
            failures: 0,
            resets: 0,
            parked: false,
            not_hosted: false,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, gather::shard_state::ShardState::Open)
    }

    /// Removes and returns the attempt with this number if it is under way at this owner.
    pub(super) fn take(
        &mut self,
        sub: ids::SubRequestId,
        owner: ids::NodeId,
    ) -> Option<gather::attempt::Attempt> {
        let matches =
            |attempt: &gather::attempt::Attempt| attempt.sub == sub && attempt.owner == owner;
        let position = self.attempts.iter().position(matches)?;
        Some(self.attempts.swap_remove(position))
    }
}

//! A delegated group that has not ended.

use std::{net, time};

use crate::forward::delegated_shard;
use crate::{forward, ids};

/// Group that another entry VM gathers.
#[derive(Debug)]
pub(super) struct RunningGroup {
    pub(super) id: ids::AttemptId,
    /// Listener of the other entry VM.
    pub(super) delegate: net::SocketAddr,
    /// By position in the group.
    pub(super) shards: Vec<delegated_shard::DelegatedShard>,
    /// Most records in an answer.
    pub(super) top_k: usize,
    /// When it was started, and once it is written, when that was done.
    pub(super) sent: time::Instant,
    pub(super) written: bool,
    /// When its shards are hedged unless an answer says which ones are missing; `None` once
    /// either has happened.
    pub(super) hedge_at: Option<time::Instant>,
}

impl RunningGroup {
    /// Indexes in the exchange of the shards that may still run at the other entry VM.
    pub(super) fn running(&self) -> impl Iterator<Item = usize> {
        self.shards.iter().filter_map(|shard| shard.running())
    }

    /// Whether all records of an answer are of shards that no earlier one has had.
    pub(super) fn accounts_for(&self, answer: &forward::GroupAnswer) -> bool {
        let is_unmerged = |(position, _): &(usize, String)| {
            let shard = self.shards.get(*position);
            shard.is_some_and(|shard| shard.unmerged().is_some())
        };
        answer.is_consistent(self.shards.len(), self.top_k)
            && answer.answered.iter().all(is_unmerged)
    }
}

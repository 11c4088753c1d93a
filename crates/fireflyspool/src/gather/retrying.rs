//! Retries and crash suspicion.

use crate::{gather, ids};

/// Failed attempts after which a shard is given up.
const MAX_FAILURES: u32 = 3;

impl gather::Running {
    /// Sends a failed shard to another replica; false if there is none or the
    /// budget is used up.
    pub(super) fn retry(
        &mut self,
        shard: ids::ShardNumber,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) -> bool {
        let progress = &self.shards[shard as usize];
        // The same owner can exclude the failed server only if it was named.
        let same_owner = progress.server_named;
        progress.failures < MAX_FAILURES
            && self.may_send(context)
            && self.ensure_candidate(shard, same_owner, context)
            && context
                .budgets
                .take_retry(self.search.kind, context.view, context.now)
            && self.send(
                shard,
                gather::AttemptReason::Retry,
                same_owner,
                context,
                batch,
            )
    }

    /// Retries the shards that wait for the result of a probe: all of them if the
    /// suspicion is cleared, otherwise one, which becomes the next probe.
    pub(super) fn retry_parked(
        &mut self,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        for shard in (0..).take(self.shards.len()) {
            if !self.shards[shard as usize].parked {
                continue;
            }
            let cleared = self.suspicion == gather::suspicion::Suspicion::Cleared;
            self.shards[shard as usize].parked = false;
            if !self.retry(shard, context, batch) {
                self.give_up(shard);
            } else if !cleared {
                self.set_probe(shard);
                return;
            }
        }
    }

    /// Gives up the shards that wait; the content is not sent anywhere again.
    pub(super) fn confirm_suspicion(&mut self) {
        self.suspicion = gather::suspicion::Suspicion::Confirmed;
        for shard in (0..).take(self.shards.len()) {
            if self.shards[shard as usize].parked {
                self.give_up(shard);
            }
        }
    }

    /// Makes the latest attempt for a shard the probe.
    pub(super) fn set_probe(&mut self, shard: ids::ShardNumber) {
        if let Some(attempt) = self.shards[shard as usize].attempts.last() {
            self.suspicion = gather::suspicion::Suspicion::Probing(attempt.sub);
        }
    }

    /// Whether this query may still send attempts.
    pub(super) fn may_send(&self, context: &gather::context::Context<'_>) -> bool {
        self.suspicion != gather::suspicion::Suspicion::Confirmed
            && context.now < self.ends_at
            && context.view.may_act(context.now)
            && !context.view.suspects.contains_key(&self.fingerprint)
    }
}

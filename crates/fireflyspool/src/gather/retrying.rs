//! Second attempts and crash suspicion.

use crate::{gather, ids};

/// Failed attempts after which a shard is given up.
const MAX_FAILURES: u32 = 3;

impl gather::Running {
    /// Sends a shard that failed to another replica, if the budget allows.
    pub(super) fn retry(
        &mut self,
        shard: ids::ShardNumber,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) -> bool {
        let progress = &self.shards[shard as usize];
        // The same owner can avoid the server that failed only if it was named.
        let same_owner = progress.named;
        progress.failures < MAX_FAILURES
            && self.may_send(scene)
            && self.find_candidate(shard, same_owner, scene)
            && scene
                .budgets
                .take_retry(self.search.kind, scene.view, scene.now)
            && self.send(
                shard,
                gather::AttemptReason::Retry,
                same_owner,
                scene,
                batch,
            )
    }

    /// Tries the shards again that waited for the result of a probe.
    pub(super) fn release_parked(
        &mut self,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        for shard in (0..).take(self.shards.len()) {
            if !self.shards[shard as usize].parked {
                continue;
            }
            let cleared = self.suspicion == gather::suspicion::Suspicion::Cleared;
            self.shards[shard as usize].parked = false;
            if !self.retry(shard, scene, batch) {
                self.give_up(shard);
            } else if !cleared {
                self.set_probe(shard);
                return;
            }
        }
    }

    /// Gives up what waited; the content is not sent anywhere again.
    pub(super) fn confirm_suspicion(&mut self) {
        self.suspicion = gather::suspicion::Suspicion::Confirmed;
        for shard in (0..).take(self.shards.len()) {
            if self.shards[shard as usize].parked {
                self.give_up(shard);
            }
        }
    }

    pub(super) fn set_probe(&mut self, shard: ids::ShardNumber) {
        if let Some(attempt) = self.shards[shard as usize].attempts.last() {
            self.suspicion = gather::suspicion::Suspicion::Probing(attempt.sub);
        }
    }

    pub(super) fn may_send(&self, scene: &gather::scene::Scene<'_>) -> bool {
        self.suspicion != gather::suspicion::Suspicion::Confirmed
            && scene.now < self.ends_at
            && scene.view.may_act(scene.now)
            && !scene.view.suspects.contains_key(&self.fingerprint)
    }
}

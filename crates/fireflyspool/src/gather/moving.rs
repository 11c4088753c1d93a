//! Moving to another index version.

use crate::{gather, plan};

/// Versions that one query tries after the first. A version that vanishes is
/// followed by its successor; more than two in one deadline is a roster that
/// changes faster than a query can follow.
const MAX_MOVES: u32 = 2;

impl gather::Running {
    /// Starts again on another version if that covers more shards in the time
    /// that is left. Answers of the old version are discarded, because an
    /// outcome must come from one version.
    pub(super) fn move_version(
        &mut self,
        scene: &mut gather::scene::Scene<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.unhosted = false;
        let in_time = scene.now + self.hedge_delay < self.ends_at;
        let allowed = self.search.version.is_none() && self.suspicion.allows_copies();
        if self.moves >= MAX_MOVES || !in_time || !allowed {
            return;
        }
        self.moves += 1;
        let mut vanished = self.vanished.clone();
        vanished.push(self.plan.snapshot.version);
        let found = plan::plan_without(&self.search, scene.view, &vanished, scene.now);
        let Ok(plan) = found else {
            return;
        };
        let total = self.plan.routes.total();
        let attainable = total - self.missing;
        if plan.routes.reachable() * total <= attainable * plan.routes.total() {
            return;
        }
        for shard in (0..).take(self.shards.len()) {
            self.cancel_attempts(shard, scene, batch);
        }
        self.vanished = vanished;
        self.plan = plan;
        self.send_first_attempts(gather::AttemptReason::Moved, scene, batch);
    }
}

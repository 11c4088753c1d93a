//! Change of a running query to another index version.

use crate::{gather, plan};

/// Further versions that one query tries. A version that is gone is replaced by its
/// successor; if that happens more than twice within one deadline, the roster changes
/// faster than a query can follow.
const MAX_VERSION_CHANGES: u32 = 2;

impl gather::Running {
    /// Starts again on another version if time is left and it covers more shards.
    /// Answers of the old version are discarded, because an outcome must come
    /// from one version.
    pub(super) fn change_version(
        &mut self,
        context: &mut gather::context::Context<'_>,
        batch: &mut gather::batch::Batch,
    ) {
        self.not_hosted = false;
        let in_time = context.now + self.hedge_delay < self.ends_at;
        let allowed = self.search.version.is_none() && self.suspicion.allows_copies();
        if self.version_changes >= MAX_VERSION_CHANGES || !in_time || !allowed {
            return;
        }
        self.version_changes += 1;
        let mut gone_versions = self.gone_versions.clone();
        gone_versions.push(self.plan.snapshot.version);
        let found = plan::plan_excluding(&self.search, context.view, &gone_versions, context.now);
        let Ok(plan) = found else {
            return;
        };
        let total = self.plan.routes.total();
        let attainable = total - self.missing;
        if plan.routes.reachable() * total <= attainable * plan.routes.total() {
            return;
        }
        for shard in (0..).take(self.shards.len()) {
            self.cancel_attempts(shard, context, batch);
        }
        self.gone_versions = gone_versions;
        self.plan = plan;
        self.send_first_attempts(gather::AttemptReason::Moved, context, batch);
    }
}

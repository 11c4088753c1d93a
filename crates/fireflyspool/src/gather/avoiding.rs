//! Owners to avoid after a failure or a refusal.

use std::time;

use crate::{dispatch, gather, ids};

/// Time for which a lost owner is avoided: its lease ends within this time, and
/// its servers then get another owner.
const OWNER_AVOIDANCE: time::Duration = time::Duration::from_secs(3);

/// Time for which an owner is avoided for a shard that failed there; a server's
/// announcement follows its state in about a second.
const SHARD_AVOIDANCE: time::Duration = time::Duration::from_secs(1);

/// Time for which an owner is avoided for a shard after a refusal for load that
/// carries no retry time.
const LOAD_AVOIDANCE: time::Duration = time::Duration::from_millis(100);

impl gather::Running {
    /// Avoids an owner after a failed attempt.
    pub(super) fn avoid_failed(
        &self,
        shard: ids::ShardNumber,
        owner: ids::NodeId,
        cause: dispatch::FailureCause,
        context: &mut gather::context::Context<'_>,
    ) {
        let loads = &mut context.budgets.stats(&self.search.service).loads;
        if cause == dispatch::FailureCause::OwnerLost {
            loads.avoid(owner, context.now + OWNER_AVOIDANCE);
        } else {
            loads.avoid_shard(owner, shard, context.now + SHARD_AVOIDANCE);
        }
    }

    /// Avoids an owner that refused, for about as long as the cause lasts.
    pub(super) fn avoid_skipped(
        &self,
        shard: ids::ShardNumber,
        owner: ids::NodeId,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        context: &mut gather::context::Context<'_>,
    ) {
        let loads = &mut context.budgets.stats(&self.search.service).loads;
        match cause {
            dispatch::SkipCause::NoLease => loads.avoid(owner, context.now + OWNER_AVOIDANCE),
            dispatch::SkipCause::NoServer | dispatch::SkipCause::NotHosted => {
                loads.avoid_shard(owner, shard, context.now + SHARD_AVOIDANCE);
            }
            dispatch::SkipCause::QueueFull | dispatch::SkipCause::Shedding => {
                let time = retry_after.unwrap_or(LOAD_AVOIDANCE).min(SHARD_AVOIDANCE);
                loads.avoid_shard(owner, shard, context.now + time);
            }
            dispatch::SkipCause::Deadline
            | dispatch::SkipCause::Suspect
            | dispatch::SkipCause::Cancelled => {}
        }
    }
}

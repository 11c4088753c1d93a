//! A query with attempts under way.

use std::time;

use crate::{dispatch, gather, ids, outcome, plan, state};

/// Share of the deadline, as a divisor, that is kept for merging and returning the answer.
const REPLY_MARGIN_DIVISOR: u32 = 20;

/// Bounds of that share: a shorter margin is lost in scheduling, a longer one is not
/// needed in networks with a latency of a few milliseconds.
const MIN_REPLY_MARGIN: time::Duration = time::Duration::from_millis(1);
const MAX_REPLY_MARGIN: time::Duration = time::Duration::from_millis(10);

/// Hedge delay, as a divisor of the deadline, while too few latencies were observed.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;

/// Shortest hedge delay, so that the timer cannot fire in a tight loop.
const MIN_HEDGE_DELAY: time::Duration = time::Duration::from_millis(1);

/// State of a query whose attempts are under way.
#[derive(Clone, Debug)]
pub struct Running {
    pub(super) plan: plan::Plan,
    pub(super) search: plan::Search,
    pub(super) received: time::Instant,
    /// Latest time at which the outcome is reported: the deadline less the reply margin.
    pub(super) ends_at: time::Instant,
    pub(super) fingerprint: ids::Fingerprint,
    /// Age at which an attempt is hedged.
    pub(super) hedge_delay: time::Duration,
    /// One entry per shard of the pinned version.
    pub(super) shards: Vec<gather::shard_progress::ShardProgress>,
    /// Shard of every sub-request of the pinned version, ascending by number.
    pub(super) subs: Vec<(ids::SubRequestId, ids::ShardNumber)>,
    /// Number of shards that are neither covered nor missing.
    pub(super) open: usize,
    /// Number of shards that are missing.
    pub(super) missing: usize,
    /// Whether any sub-request may have run, on any version.
    pub(super) may_have_run: bool,
    pub(super) suspicion: gather::suspicion::Suspicion,
    /// Backend servers that reset an attempt, one entry per reset.
    pub(super) reset_servers: Vec<ids::ServerName>,
    /// Causes for which owners refused; they decide the reason if the query is refused.
    pub(super) skip_causes: Vec<dispatch::SkipCause>,
    /// Longest retry time that an owner gave.
    pub(super) retry_after: Option<time::Duration>,
    /// Earlier pinned versions that are no longer hosted.
    pub(super) gone_versions: Vec<ids::IndexVersion>,
    /// When this query last collected its routes again.
    pub(super) refreshed_at: Option<time::Instant>,
    /// Whether a shard was given up because its version is not hosted.
    pub(super) not_hosted: bool,
    /// Attempts to change to another version.
    pub(super) version_changes: u32,
}

impl gather::Query<Running> {
    pub(super) fn running(
        plan: plan::Plan,
        search: plan::Search,
        received: time::Instant,
        context: &mut gather::context::Context<'_>,
    ) -> Self {
        let margin =
            (search.deadline / REPLY_MARGIN_DIVISOR).clamp(MIN_REPLY_MARGIN, MAX_REPLY_MARGIN);
        let ends_at = received + search.deadline.saturating_sub(margin);
        let fingerprint = gather::fingerprint(&search.service, &search.text);
        let suspicion = if context.view.suspects.contains_key(&fingerprint) {
            gather::suspicion::Suspicion::Confirmed
        } else {
            gather::suspicion::Suspicion::None
        };
        let hedge_delay = hedge_delay(&search, context);
        let state = Running {
            plan,
            search,
            received,
            ends_at,
            fingerprint,
            hedge_delay,
            shards: Vec::new(),
            subs: Vec::new(),
            open: 0,
            missing: 0,
            may_have_run: false,
            suspicion,
            reset_servers: Vec::new(),
            skip_causes: Vec::new(),
            retry_after: None,
            gone_versions: Vec::new(),
            refreshed_at: None,
            not_hosted: false,
            version_changes: 0,
        };
        Self { state }
    }

    /// Search that the caller asked for.
    pub fn search(&self) -> &plan::Search {
        &self.state.search
    }

    /// Snapshot that the query is pinned to now; it changes if the version is gone.
    pub fn snapshot(&self) -> &outcome::Snapshot {
        &self.state.plan.snapshot
    }

    /// Sends the first attempts for every shard of the pinned version.
    pub(super) fn begin(
        mut self,
        reason: gather::AttemptReason,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let mut batch = gather::batch::Batch::default();
        self.state.send_first_attempts(reason, context, &mut batch);
        self.next_state(context, batch)
    }

    pub(super) fn handle(
        mut self,
        event: gather::Event,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let mut batch = gather::batch::Batch::default();
        match event {
            gather::Event::Replied {
                sub,
                owner,
                outcome,
            } => self
                .state
                .on_reply(sub, owner, outcome, context, &mut batch),
            gather::Event::OwnerLost { owner } => {
                self.state.on_owner_lost(owner, context, &mut batch);
            }
            gather::Event::Timer => self.state.send_hedges(context, &mut batch),
            gather::Event::CallerGone => return self.conclude(context, batch),
        }
        self.next_state(context, batch)
    }

    pub(super) fn next_wake(&self) -> time::Instant {
        let shards = self.state.shards.iter();
        let hedges = shards.filter(|shard| shard.attempts.len() == 1);
        let hedges = hedges.filter_map(|shard| shard.hedge_at);
        hedges
            .min()
            .map_or(self.state.ends_at, |at| at.min(self.state.ends_at))
    }

    /// Changes the version if one is gone, then ends the query if it is late, has no
    /// open shard or cannot reach its coverage.
    fn next_state(
        mut self,
        context: &mut gather::context::Context<'_>,
        mut batch: gather::batch::Batch,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        if self.state.not_hosted {
            self.state.change_version(context, &mut batch);
        }
        let late = context.now >= self.state.ends_at;
        if late || self.state.open == 0 || self.state.coverage_unattainable() {
            return self.conclude(context, batch);
        }
        let running = gather::Coordinator::Running(Box::new(self));
        (running, batch.into_actions())
    }
}

fn hedge_delay(
    search: &plan::Search,
    context: &mut gather::context::Context<'_>,
) -> time::Duration {
    let quantile = context.view.catalog.number(state::ConfigKey::HedgeQuantile);
    // If the budget is below the share of slow attempts, only the slowest are hedged.
    let budget = context.view.catalog.number(state::ConfigKey::HedgeBudget);
    let quantile = quantile.max(1_000_u64.saturating_sub(budget)).min(999);
    let stats = context.budgets.stats(&search.service);
    let observed = stats.quantile(search.kind, quantile, context.now);
    let default = search.deadline / DEFAULT_HEDGE_DIVISOR;
    observed.unwrap_or(default).max(MIN_HEDGE_DELAY)
}

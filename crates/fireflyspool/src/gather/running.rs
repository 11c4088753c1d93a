//! A query with attempts under way.

use std::time;

use crate::{dispatch, gather, ids, outcome, plan, state};

/// Share of the deadline, as a divisor, that is kept for merging and for the way back.
const MARGIN_DIVISOR: u32 = 20;

/// Bounds of that share: less is lost in scheduling, more is not needed in
/// networks of a few milliseconds.
const MIN_MARGIN: time::Duration = time::Duration::from_millis(1);
const MAX_MARGIN: time::Duration = time::Duration::from_millis(10);

/// Delay of hedges, as a divisor of the deadline, while too few times were observed.
const BLIND_HEDGE_DIVISOR: u32 = 4;

/// Shortest delay of hedges, so that a timer cannot fire in a tight loop.
const MIN_HEDGE_DELAY: time::Duration = time::Duration::from_millis(1);

/// State of a query whose attempts are under way.
#[derive(Clone, Debug)]
pub struct Running {
    pub(super) plan: plan::Plan,
    pub(super) search: plan::Search,
    pub(super) received: time::Instant,
    /// When the outcome is reported at the latest.
    pub(super) ends_at: time::Instant,
    pub(super) fingerprint: ids::Fingerprint,
    pub(super) hedge_delay: time::Duration,
    /// One entry per shard of the pinned version.
    pub(super) shards: Vec<gather::progress::Progress>,
    /// Shard of every sub-request of the pinned version, ascending by number.
    pub(super) subs: Vec<(ids::SubRequestId, ids::ShardNumber)>,
    /// Shards that are neither covered nor missing.
    pub(super) open: usize,
    /// Shards that are missing.
    pub(super) missing: usize,
    /// Whether anything may have run, on any version.
    pub(super) may_have_run: bool,
    pub(super) suspicion: gather::suspicion::Suspicion,
    /// Backend servers that reset an attempt.
    pub(super) resets: Vec<ids::ServerName>,
    /// Refusals of owners, for the reason of a refusal of the whole.
    pub(super) skips: Vec<dispatch::SkipCause>,
    pub(super) retry_after: Option<time::Duration>,
    /// Versions that owners stated to be gone.
    pub(super) vanished: Vec<ids::IndexVersion>,
    /// When the routes were last collected again.
    pub(super) refreshed: Option<time::Instant>,
    /// A shard of the pinned version cannot be reached because it is gone.
    pub(super) unhosted: bool,
    /// Attempts to move to another version.
    pub(super) moves: u32,
}

impl gather::Query<Running> {
    pub(super) fn running(
        plan: plan::Plan,
        search: plan::Search,
        received: time::Instant,
        scene: &mut gather::scene::Scene<'_>,
    ) -> Self {
        let margin = (search.deadline / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN);
        let ends_at = received + search.deadline.saturating_sub(margin);
        let fingerprint = gather::fingerprint(&search.service, &search.text);
        let suspicion = if scene.view.suspects.contains_key(&fingerprint) {
            gather::suspicion::Suspicion::Confirmed
        } else {
            gather::suspicion::Suspicion::None
        };
        let hedge_delay = hedge_delay(&search, scene);
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
            resets: Vec::new(),
            skips: Vec::new(),
            retry_after: None,
            vanished: Vec::new(),
            refreshed: None,
            unhosted: false,
            moves: 0,
        };
        Self { state }
    }

    /// What the caller asked for.
    pub fn search(&self) -> &plan::Search {
        &self.state.search
    }

    /// Snapshot that the query is pinned to now.
    pub fn snapshot(&self) -> &outcome::Snapshot {
        &self.state.plan.snapshot
    }

    /// Sends the first attempts for every shard of the pinned version.
    pub(super) fn begin(
        mut self,
        reason: gather::AttemptReason,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let mut batch = gather::batch::Batch::default();
        self.state.send_first_attempts(reason, scene, &mut batch);
        self.settle(scene, batch)
    }

    pub(super) fn handle(
        mut self,
        event: gather::Event,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let mut batch = gather::batch::Batch::default();
        match event {
            gather::Event::Replied {
                sub,
                owner,
                outcome,
            } => self.state.on_reply(sub, owner, outcome, scene, &mut batch),
            gather::Event::OwnerLost { owner } => {
                self.state.on_owner_lost(owner, scene, &mut batch);
            }
            gather::Event::Timer => self.state.send_hedges(scene, &mut batch),
            gather::Event::CallerGone => return self.conclude(scene, batch),
        }
        self.settle(scene, batch)
    }

    pub(super) fn next_wake(&self) -> time::Instant {
        let shards = self.state.shards.iter();
        let hedges = shards.filter(|shard| shard.attempts.len() == 1);
        let hedges = hedges.filter_map(|shard| shard.hedge_at);
        hedges
            .min()
            .map_or(self.state.ends_at, |at| at.min(self.state.ends_at))
    }

    /// Goes on, moves to another version, or ends.
    fn settle(
        mut self,
        scene: &mut gather::scene::Scene<'_>,
        mut batch: gather::batch::Batch,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        if self.state.unhosted {
            self.state.move_version(scene, &mut batch);
        }
        let late = scene.now >= self.state.ends_at;
        if late || self.state.open == 0 || self.state.is_hopeless() {
            return self.conclude(scene, batch);
        }
        let running = gather::Coordinator::Running(Box::new(self));
        (running, batch.into_actions())
    }
}

fn hedge_delay(search: &plan::Search, scene: &mut gather::scene::Scene<'_>) -> time::Duration {
    let quantile = scene.view.catalog.number(state::ConfigKey::HedgeQuantile);
    // A budget below the share of slow attempts is better spent on the slowest of them.
    let budget = scene.view.catalog.number(state::ConfigKey::HedgeBudget);
    let quantile = quantile.max(1_000_u64.saturating_sub(budget)).min(999);
    let stats = scene.budgets.stats(&search.service);
    let observed = stats.quantile(search.kind, quantile, scene.now);
    let blind = search.deadline / BLIND_HEDGE_DIVISOR;
    observed.unwrap_or(blind).max(MIN_HEDGE_DELAY)
}

//! What the queries of one entry VM share.

use std::time;

use crate::{gather, ids, outcome, peak, sorted, state, view};

/// Hedges that can be saved up: about one for every shard of a wide query.
const HEDGE_CAPACITY: u64 = 64;

/// Retries that can be saved up. When a zone is lost, a third of the attempts
/// under way fail at once: of seven queries to 56 shards these are 131.
const RETRY_CAPACITY: u64 = 256;

/// Budgets, observations and numbers that all queries of one entry VM share.
///
/// There is one per process. Query tasks use it for microseconds at a time, so
/// one mutex around it is enough; no method waits or does I/O.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// Demand of this entry VM.
    pub peak: peak::PeakMeter,
    incarnation: ids::Incarnation,
    next_sub: ids::SubRequestId,
    hedges: gather::TokenBucket,
    retries: gather::TokenBucket,
    services: sorted::SortedMap<ids::ServiceName, gather::ServiceStats>,
}

impl Budgets {
    /// Budgets of a process that just started.
    pub fn new(incarnation: ids::Incarnation, peak: peak::PeakMeter) -> Self {
        Self {
            peak,
            incarnation,
            next_sub: 1,
            hedges: gather::TokenBucket::new(HEDGE_CAPACITY),
            retries: gather::TokenBucket::new(RETRY_CAPACITY),
            services: sorted::SortedMap::new(),
        }
    }

    /// Incarnation of this process.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// Next number of a sub-request of this process.
    pub fn next_sub(&mut self) -> ids::SubRequestId {
        self.next_sub += 1;
        self.next_sub - 1
    }

    /// Takes over what a newly published view changes: the peak limit and the
    /// owners whose loads are worth keeping.
    pub fn apply_view(&mut self, view: &view::View) {
        self.peak.configure(view);
        for stats in self.services.values_mut() {
            stats
                .loads
                .retain(|owner| view.members.contains_key(&owner));
        }
    }

    /// Observations of a service.
    pub fn stats(&mut self, service: &str) -> &mut gather::ServiceStats {
        self.services
            .get_or_insert_with(service.to_owned(), gather::ServiceStats::default)
    }

    /// Counts first attempts, which earn hedges and retries.
    pub fn count_first_attempts(&mut self, firsts: u64, view: &view::View, now: time::Instant) {
        self.peak.count(peak::Cause::First, firsts, now);
        let hedge_share = view.catalog.number(state::ConfigKey::HedgeBudget);
        let retry_share = view.catalog.number(state::ConfigKey::RetryBudget);
        self.hedges.earn(firsts, hedge_share);
        self.retries.earn(firsts, retry_share);
    }

    /// Counts an attempt that replaces one of which nothing ran; it needs no
    /// budget because it puts no additional work on backend servers.
    pub fn count_redirect(&mut self, now: time::Instant) {
        self.peak.count(peak::Cause::Retry, 1, now);
    }

    /// Takes a hedge from the budget; none are sent in the peak minute.
    pub fn take_hedge(
        &mut self,
        kind: outcome::Kind,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        let share = view.catalog.number(state::ConfigKey::HedgeBudget);
        let taken = !self.peak.is_peak(now) && self.hedges.spend(kind, share);
        if taken {
            self.peak.count(peak::Cause::Hedge, 1, now);
        }
        taken
    }

    /// Takes a retry from the budget; none are sent in the peak minute.
    pub fn take_retry(
        &mut self,
        kind: outcome::Kind,
        view: &view::View,
        now: time::Instant,
    ) -> bool {
        let share = view.catalog.number(state::ConfigKey::RetryBudget);
        let taken = !self.peak.is_peak(now) && self.retries.spend(kind, share);
        if taken {
            self.peak.count(peak::Cause::Retry, 1, now);
        }
        taken
    }
}

//! State that the queries of one entry VM share.

use std::time;

use crate::{gather, ids, outcome, peak, sorted, state, view};

/// Hedges that can accumulate, in tokens: about one for every shard of a wide query.
const HEDGE_CAPACITY: u64 = 64;

/// Retries that can accumulate, in tokens. When a zone is lost, a third of the
/// attempts under way fail at once: with seven queries to 56 shards these are 131.
const RETRY_CAPACITY: u64 = 256;

/// Hedge and retry budgets, statistics per service, and sub-request numbers.
///
/// There is one per process. Query tasks use it for microseconds at a time, so
/// one mutex around it is enough; no method waits or does I/O.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// Meter of the sub-requests that this entry VM sends.
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

    /// Number for the next sub-request; never repeated within this incarnation.
    pub fn next_sub(&mut self) -> ids::SubRequestId {
        self.next_sub += 1;
        self.next_sub - 1
    }

    /// Applies a newly published view: takes its peak limit and drops the loads
    /// of owners that are no longer members.
    pub fn apply_view(&mut self, view: &view::View) {
        self.peak.configure(view);
        for stats in self.services.values_mut() {
            stats
                .loads
                .retain(|owner| view.members.contains_key(&owner));
        }
    }

    /// Statistics of a service; created empty on first use.
    pub fn stats(&mut self, service: &str) -> &mut gather::ServiceStats {
        self.services
            .get_or_insert_with(service.to_owned(), gather::ServiceStats::default)
    }

    /// Counts first attempts, which earn tokens for hedges and retries.
    pub fn count_first_attempts(&mut self, attempts: u64, view: &view::View, now: time::Instant) {
        self.peak.count(peak::Cause::First, attempts, now);
        let hedge_share = view.catalog.number(state::ConfigKey::HedgeBudget);
        let retry_share = view.catalog.number(state::ConfigKey::RetryBudget);
        self.hedges.earn(attempts, hedge_share);
        self.retries.earn(attempts, retry_share);
    }

    /// Counts an attempt that replaces one that did not run. It needs no budget
    /// because it puts no additional work on backend servers.
    pub fn count_redirect(&mut self, now: time::Instant) {
        self.peak.count(peak::Cause::Retry, 1, now);
    }

    /// Takes a hedge from the budget and counts it; always false in the peak minute.
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

    /// Takes a retry from the budget and counts it; always false in the peak minute.
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

//! Coordinators of queries under random events, each checked by an oracle.

use std::{sync, time};

use super::query_fixture::{self, millis};
use super::query_oracle;
use fireflyspool::{dispatch, gather, outcome, plan, state, view};

const OWNERS: u64 = 5;

/// State of one entry VM and its queries, each with an oracle.
pub(crate) struct Site {
    pub(crate) choices: query_fixture::Choices,
    now: time::Instant,
    view: view::View,
    budgets: gather::Budgets,
    versions: Vec<(u64, u32)>,
    unhosted: Vec<u64>,
    pub(crate) queries: Vec<(gather::Coordinator, query_oracle::Oracle)>,
    pub(crate) retry_failures: u64,
}

impl Site {
    pub(crate) fn new(list: Vec<u32>) -> Self {
        let mut choices = query_fixture::Choices::new(list);
        let now = time::Instant::now();
        let count = 1 + choices.below(3) as u64;
        let versions: Vec<_> = (1..=count)
            .map(|version| (version, 1 + choices.below(7) as u32))
            .collect();
        let mut view = query_fixture::view(query_fixture::catalog(&versions), OWNERS, now);
        for (version, shards) in &versions {
            for shard in 0..*shards {
                for _ in 0..choices.below(4) {
                    let owner = 1 + choices.below(OWNERS as usize) as u64;
                    query_fixture::add_server(&mut view, owner, &[(*version, shard)]);
                }
            }
        }
        if choices.chance(20) {
            query_fixture::set_value(&mut view, state::ConfigKey::PeakLimit, 100);
        }
        let mut budgets = query_fixture::budgets(now);
        budgets.peak.configure(&view);
        Self {
            choices,
            now,
            view,
            budgets,
            versions,
            unhosted: Vec::new(),
            queries: Vec::new(),
            retry_failures: 0,
        }
    }

    fn start_query(&mut self) {
        let mut search = query_fixture::search(&format!("q{}", self.queries.len()));
        search.kind = outcome::Kind::ALL[self.choices.below(3)];
        search.limit = [0, 1, 5, 100][self.choices.below(4)];
        search.partial = self.choices.chance(50);
        search.deadline = millis([1, 40, 200][self.choices.below(3)]);
        search.coverage = match self.choices.below(3) {
            0 => outcome::RequiredCoverage::Full,
            1 => outcome::RequiredCoverage::AtLeast(60),
            _ => outcome::RequiredCoverage::Any,
        };
        if self.choices.chance(10) {
            search.version = Some(1);
        }
        let Ok(plan) = plan::plan(&search, &self.view, self.now, 0) else {
            return;
        };
        let version = plan.snapshot.version;
        let shards = self.versions.clone();
        let mut oracle = query_oracle::Oracle::new(search.clone(), version, shards, self.now);
        let entropy = self.choices.below(1_000) as u64;
        let (coordinator, actions) = gather::Coordinator::start(
            plan,
            search,
            &self.view,
            &mut self.budgets,
            self.now,
            entropy,
        );
        oracle.check(&actions, self.now);
        self.queries.push((coordinator, oracle));
    }

    fn handle_event(&mut self, query: usize, event: gather::Event) {
        let entropy = self.choices.below(1_000) as u64;
        let (coordinator, oracle) = &mut self.queries[query];
        let actions = coordinator.handle(event, &self.view, &mut self.budgets, self.now, entropy);
        oracle.check(&actions, self.now);
        assert_eq!(coordinator.is_finished(), oracle.outcome.is_some());
        for action in &actions {
            if let gather::Action::Log(decision) = action {
                self.retry_failures += u64::from(decision.reason == gather::AttemptReason::Retry);
            }
        }
    }

    /// Delivers a random outcome of a sub-request; it may be late, a duplicate, from the
    /// wrong owner or sent to the wrong query.
    fn deliver_outcome(&mut self) {
        let query = self.choices.below(self.queries.len());
        let sent = &self.queries[query].1.sent;
        if sent.is_empty() {
            return;
        }
        let mut position = self.choices.below(sent.len());
        if self.choices.chance(80) {
            let open = |sent: &query_oracle::SentSub| sent.state == query_oracle::SubState::Open;
            position = sent.iter().position(open).unwrap_or(position);
        }
        let sent = &self.queries[query].1.sent[position];
        let (version, shard, sub) = (sent.version, sent.shard, sent.request.sub);
        let mut owner = sent.owner;
        if self.choices.chance(5) {
            owner = 1 + self.choices.below(OWNERS as usize) as u64;
        }
        let outcome = self.random_outcome(version, shard, owner);
        let mut target = query;
        if self.choices.chance(5) {
            target = self.choices.below(self.queries.len());
        }
        self.queries[target].1.reply(sub, owner, &outcome);
        let replied = query_fixture::replied(sub, owner, outcome);
        self.handle_event(target, replied);
    }

    fn random_outcome(&mut self, version: u64, shard: u32, owner: u64) -> dispatch::SubOutcome {
        let unhosted = self.unhosted.contains(&version);
        let server = format!("{owner}-{}", self.choices.below(3));
        let skips = [
            dispatch::SkipCause::NoServer,
            dispatch::SkipCause::QueueFull,
            dispatch::SkipCause::Shedding,
            dispatch::SkipCause::Suspect,
            dispatch::SkipCause::NoLease,
            dispatch::SkipCause::NotHosted,
        ];
        match self.choices.below(20) {
            _ if unhosted => query_fixture::not_run(dispatch::SkipCause::NotHosted),
            index @ 0..6 => query_fixture::not_run(skips[index]),
            6 | 7 => query_fixture::failed(&server, dispatch::FailureCause::Reset),
            8 => query_fixture::failed(&server, dispatch::FailureCause::BadReply),
            9 => query_fixture::failed("", dispatch::FailureCause::Timeout),
            queued => query_fixture::answered(query_oracle::hits(version, shard), queued as u32),
        }
    }

    pub(crate) fn step(&mut self) {
        if self.queries.is_empty() || self.choices.chance(6) {
            return self.start_query();
        }
        let query = self.choices.below(self.queries.len());
        match self.choices.below(40) {
            0 => self.now += millis(self.choices.below(30) as u64),
            1..=4 => {
                let wake = self.queries[query].0.next_wake();
                self.now = self.now.max(wake.unwrap_or(self.now));
                self.handle_event(query, gather::Event::Timer);
            }
            5 => {
                let owner = 1 + self.choices.below(OWNERS as usize) as u64;
                for query in 0..self.queries.len() {
                    self.queries[query].1.owner_lost(owner);
                    self.handle_event(query, gather::Event::OwnerLost { owner });
                }
            }
            6 => self.handle_event(query, gather::Event::CallerGone),
            7 => self
                .unhosted
                .push(1 + self.choices.below(self.versions.len()) as u64),
            8 => self.remove_unhosted(),
            9 if self.choices.chance(20) => self.view.lease_until = Some(self.now),
            _ => self.deliver_outcome(),
        }
    }

    /// Removes the versions that are no longer hosted from the announcements.
    fn remove_unhosted(&mut self) {
        let servers = sync::Arc::make_mut(&mut self.view.servers);
        for record in servers.values_mut() {
            let hosted = &mut record.announcement.hosted;
            hosted.retain(|shard| !self.unhosted.contains(&shard.version));
        }
    }

    /// Advances every query to its deadline; checks that it has ended and that no load is left.
    pub(crate) fn drain(&mut self) {
        for query in 0..self.queries.len() {
            let ends_at = self.queries[query].1.received + self.queries[query].1.search.deadline;
            for _ in 0..1_000 {
                let Some(wake) = self.queries[query].0.next_wake() else {
                    break;
                };
                assert!(
                    wake <= ends_at.max(self.now),
                    "query {query} wakes after its deadline"
                );
                self.now = self.now.max(wake);
                self.handle_event(query, gather::Event::Timer);
            }
            assert!(
                self.queries[query].1.outcome.is_some(),
                "query {query} did not end"
            );
        }
        for owner in 1..=OWNERS {
            let loads = &self.budgets.stats(query_fixture::SERVICE).loads;
            assert_eq!(
                loads.outstanding(owner),
                0,
                "load of owner {owner} was not released"
            );
        }
    }

    pub(crate) fn check_budgets(&self) {
        let sum = |count: fn(&query_oracle::Oracle) -> u64| -> u64 {
            self.queries.iter().map(|query| count(&query.1)).sum()
        };
        let (first_attempts, hedges) = (
            sum(|oracle| oracle.first_attempts),
            sum(|oracle| oracle.hedges),
        );
        let retries = self.retry_failures;
        let bound = |share| gather::TokenBucket::INITIAL_TOKENS + first_attempts * share / 1_000;
        assert!(
            hedges <= bound(45),
            "{hedges} hedges for {first_attempts} first attempts"
        );
        assert!(
            retries <= bound(100),
            "{retries} retries for {first_attempts} first attempts"
        );
    }
}

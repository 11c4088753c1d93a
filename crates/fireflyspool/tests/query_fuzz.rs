//! Queries under random events, against an oracle that knows what happened.

mod coordination;
mod query_oracle;

use std::{sync, time};

use coordination::millis;
use fireflyspool::{dispatch, gather, outcome, plan, state, view};

const OWNERS: u64 = 5;

struct Site {
    choices: coordination::Choices,
    now: time::Instant,
    view: view::View,
    budgets: gather::Budgets,
    versions: Vec<(u64, u32)>,
    gone: Vec<u64>,
    queries: Vec<(gather::Coordinator, query_oracle::Oracle)>,
    retry_failures: u64,
}

impl Site {
    fn new(list: Vec<u32>) -> Self {
        let mut choices = coordination::Choices::new(list);
        let now = time::Instant::now();
        let count = 1 + choices.below(3) as u64;
        let versions: Vec<_> = (1..=count)
            .map(|version| (version, 1 + choices.below(7) as u32))
            .collect();
        let mut view = coordination::view(coordination::catalog(&versions), OWNERS, now);
        for (version, shards) in &versions {
            for shard in 0..*shards {
                for _ in 0..choices.below(4) {
                    let owner = 1 + choices.below(OWNERS as usize) as u64;
                    coordination::add_server(&mut view, owner, &[(*version, shard)]);
                }
            }
        }
        if choices.chance(20) {
            coordination::set(&mut view, state::Value::PeakLimit, 100);
        }
        let mut budgets = coordination::budgets(now);
        budgets.peak.configure(&view);
        Self {
            choices,
            now,
            view,
            budgets,
            versions,
            gone: Vec::new(),
            queries: Vec::new(),
            retry_failures: 0,
        }
    }

    fn start(&mut self) {
        let mut search = coordination::search(&format!("q{}", self.queries.len()));
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
        let total = self
            .versions
            .iter()
            .find(|entry| entry.0 == plan.snapshot.version);
        assert_eq!(plan.routes.total(), total.expect("exists").1 as usize);
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

    fn event(&mut self, query: usize, event: gather::Event) {
        let entropy = self.choices.below(1_000) as u64;
        let (coordinator, oracle) = &mut self.queries[query];
        let actions = coordinator.handle(event, &self.view, &mut self.budgets, self.now, entropy);
        oracle.check(&actions, self.now);
        assert_eq!(coordinator.is_finished(), oracle.outcome.is_some());
        for action in &actions {
            if let gather::Action::Log(decision) = action {
                self.retry_failures += u64::from(decision.reason == gather::Reason::Retry);
            }
        }
    }

    /// Some end of some sub-request, possibly a second time, late, or from elsewhere.
    fn reply(&mut self) {
        let query = self.choices.below(self.queries.len());
        let sent = &self.queries[query].1.sent;
        if sent.is_empty() {
            return;
        }
        let mut position = self.choices.below(sent.len());
        if self.choices.chance(80) {
            let open = |sent: &query_oracle::Sent| sent.fate == query_oracle::Fate::UnderWay;
            position = sent.iter().position(open).unwrap_or(position);
        }
        let sent = &self.queries[query].1.sent[position];
        let (version, shard, sub) = (sent.version, sent.shard, sent.request.sub);
        let mut owner = sent.owner;
        if self.choices.chance(5) {
            owner = 1 + self.choices.below(OWNERS as usize) as u64;
        }
        let outcome = self.outcome(version, shard, owner);
        let mut target = query;
        if self.choices.chance(5) {
            target = self.choices.below(self.queries.len());
        }
        self.queries[target].1.reply(sub, owner, &outcome);
        self.event(
            target,
            gather::Event::Replied {
                sub,
                owner,
                outcome,
            },
        );
    }

    fn outcome(&mut self, version: u64, shard: u32, owner: u64) -> dispatch::SubOutcome {
        let gone = self.gone.contains(&version);
        let name = format!("{owner}-{}", self.choices.below(3));
        let server = Some(name.clone());
        let retry_after = Some(millis(30));
        let not_run = |cause| dispatch::SubOutcome::NotRun { cause, retry_after };
        match self.choices.below(20) {
            _ if gone => not_run(dispatch::SkipCause::NotHosted),
            0 => not_run(dispatch::SkipCause::NoServer),
            1 => not_run(dispatch::SkipCause::QueueFull),
            2 => not_run(dispatch::SkipCause::Shedding),
            3 => not_run(dispatch::SkipCause::Suspect),
            4 => not_run(dispatch::SkipCause::NoLease),
            5 | 6 => dispatch::SubOutcome::Failed {
                server,
                cause: dispatch::FailureCause::Reset,
            },
            7 => dispatch::SubOutcome::Failed {
                server,
                cause: dispatch::FailureCause::BadReply,
            },
            8 => dispatch::SubOutcome::Failed {
                server: None,
                cause: dispatch::FailureCause::Timeout,
            },
            9 => not_run(dispatch::SkipCause::NotHosted),
            _ => dispatch::SubOutcome::Answered {
                server: name,
                hits: query_oracle::hits(version, shard),
                service_time: millis(5),
                queued: self.choices.below(9) as u32,
            },
        }
    }

    fn step(&mut self) {
        if self.queries.is_empty() || self.choices.chance(6) {
            return self.start();
        }
        let query = self.choices.below(self.queries.len());
        match self.choices.below(40) {
            0 => self.now += millis(self.choices.below(30) as u64),
            1..=4 => {
                let wake = self.queries[query].0.next_wake();
                self.now = self.now.max(wake.unwrap_or(self.now));
                self.event(query, gather::Event::Timer);
            }
            5 => {
                let owner = 1 + self.choices.below(OWNERS as usize) as u64;
                for query in 0..self.queries.len() {
                    self.queries[query].1.lose(owner);
                    self.event(query, gather::Event::OwnerLost { owner });
                }
            }
            6 => self.event(query, gather::Event::CallerGone),
            7 => self
                .gone
                .push(1 + self.choices.below(self.versions.len()) as u64),
            8 => self.forget_gone(),
            9 if self.choices.chance(20) => self.view.lease_until = Some(self.now),
            _ => self.reply(),
        }
    }

    /// The roster learns which versions are no longer hosted.
    fn forget_gone(&mut self) {
        let servers = sync::Arc::make_mut(&mut self.view.servers);
        for record in servers.values_mut() {
            let hosted = &mut record.announcement.hosted;
            hosted.retain(|shard| !self.gone.contains(&shard.version));
        }
    }

    /// Lets every query run into its deadline and checks what is left.
    fn drain(&mut self) {
        for query in 0..self.queries.len() {
            let ends_at = self.queries[query].1.received + self.queries[query].1.search.deadline;
            for _ in 0..1_000 {
                let Some(wake) = self.queries[query].0.next_wake() else {
                    break;
                };
                assert!(wake <= ends_at.max(self.now), "wakes after its deadline");
                self.now = self.now.max(wake);
                self.event(query, gather::Event::Timer);
            }
            assert!(
                self.queries[query].1.outcome.is_some(),
                "did not end at its deadline"
            );
        }
        for owner in 1..=OWNERS {
            let loads = &self.budgets.traffic(coordination::SERVICE).loads;
            assert_eq!(
                loads.outstanding(owner),
                0,
                "load of {owner} was not given back"
            );
        }
    }

    fn check_budgets(&self) {
        let firsts: u64 = self.queries.iter().map(|query| query.1.firsts).sum();
        let hedges: u64 = self.queries.iter().map(|query| query.1.hedges).sum();
        let initial = gather::TokenBucket::INITIAL_TOKENS;
        assert!(
            hedges <= initial + firsts * 45 / 1_000,
            "{hedges} hedges, {firsts} firsts"
        );
        let retries = self.retry_failures;
        assert!(
            retries <= initial + firsts * 100 / 1_000,
            "{retries} retries, {firsts} firsts"
        );
    }
}

fn run(list: Vec<u32>) {
    let mut site = Site::new(list);
    while !site.choices.is_over() {
        site.step();
        site.check_budgets();
    }
    site.drain();
    site.check_budgets();
}

/// Guards against mixed versions, false coverage, a false "not run", hits of
/// another caller, spent budgets, second hedges, attempts that nobody cancels
/// and queries that end twice or never.
#[test]
fn queries_tell_the_truth_under_random_events() {
    coordination::fuzz("queries", 600, run);
}

/// Guards against the fuzz runs reaching only refusals: many queries must end
/// complete, partial and not run, with hedges, retries and moves among them.
#[test]
fn random_runs_reach_every_ending() {
    let mut reached: coordination::Map<&str, u32> = coordination::Map::new();
    let mut draws = coordination::Draws(5);
    for _ in 0..400 {
        let list = (0..400).map(|_| draws.next() as u32).collect();
        let mut site = Site::new(list);
        while !site.choices.is_over() {
            site.step();
        }
        site.drain();
        for (_, oracle) in &site.queries {
            let name = oracle
                .outcome
                .as_ref()
                .map_or("none", outcome::Outcome::name);
            *reached.get_or_insert_with(name, || 0) += 1;
            let first = oracle.sent.first().map(|sent| sent.version);
            let moved = u32::from(first.is_some_and(|first| first != oracle.version));
            *reached.get_or_insert_with("moved", || 0) += moved;
            *reached.get_or_insert_with("hedges", || 0) += oracle.hedges as u32;
        }
        *reached.get_or_insert_with("retries", || 0) += site.retry_failures as u32;
    }
    println!("{reached:?}");
    for name in [
        "complete", "partial", "not_run", "moved", "hedges", "retries",
    ] {
        assert!(
            reached.get(name).is_some_and(|count| *count >= 20),
            "{name}: {reached:?}"
        );
    }
}

//! Drives one query step by step.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::time;

use super::query_fixture;
use fireflyspool::{dispatch, gather, ids, outcome, plan, view};

/// One query without I/O, with everything that it sent, cancelled and reported.
pub(crate) struct Run {
    pub(crate) view: view::View,
    pub(crate) budgets: gather::Budgets,
    pub(crate) now: time::Instant,
    pub(crate) coordinator: gather::Coordinator,
    pub(crate) sent: Vec<(ids::NodeId, dispatch::SubRequest)>,
    pub(crate) cancelled: Vec<ids::SubRequestId>,
    pub(crate) warned: Vec<ids::ServerName>,
    pub(crate) outcome: Option<outcome::Outcome>,
}

impl Run {
    pub(crate) fn start(search: plan::Search, view: view::View, now: time::Instant) -> Self {
        let mut budgets = query_fixture::budgets(now);
        let plan = plan::plan(&search, &view, now, 1).expect("has a plan");
        let (coordinator, actions) =
            gather::Coordinator::start(plan, search, &view, &mut budgets, now, 1);
        let mut run = Self {
            view,
            budgets,
            now,
            coordinator,
            sent: Vec::new(),
            cancelled: Vec::new(),
            warned: Vec::new(),
            outcome: None,
        };
        run.apply(actions);
        run
    }

    /// Query over these versions, with three replicas of each shard at six owners.
    pub(crate) fn of(versions: &[(u64, u32)]) -> Self {
        let now = time::Instant::now();
        let view = query_fixture::full_view(versions, 6, 3, now);
        Self::start(query_fixture::search("1-a"), view, now)
    }

    pub(crate) fn complete(&self) -> outcome::Answer {
        match &self.outcome {
            Some(outcome::Outcome::Complete(answer)) => answer.clone(),
            other => panic!("not complete: {other:?}"),
        }
    }

    pub(crate) fn partial(&self) -> outcome::Answer {
        match &self.outcome {
            Some(outcome::Outcome::Partial(answer)) => answer.clone(),
            other => panic!("not partial: {other:?}"),
        }
    }

    pub(crate) fn apply(&mut self, actions: Vec<gather::Action>) {
        self.sent.extend(query_fixture::dispatched(&actions));
        for action in &actions {
            match action {
                gather::Action::Cancel { subs, .. } => self.cancelled.extend(subs),
                gather::Action::Warn { servers, .. } => self.warned.clone_from(servers),
                _ => {}
            }
        }
        let finished = query_fixture::finished(&actions);
        assert!(self.outcome.is_none() || finished.is_none());
        self.outcome = self.outcome.take().or(finished);
    }

    pub(crate) fn event(&mut self, event: gather::Event) {
        let actions = self
            .coordinator
            .handle(event, &self.view, &mut self.budgets, self.now, 2);
        self.apply(actions);
    }

    pub(crate) fn reply(&mut self, position: usize, outcome: dispatch::SubOutcome) {
        let (owner, sub) = (self.sent[position].0, self.sent[position].1.sub);
        self.event(query_fixture::replied(sub, owner, outcome));
    }

    pub(crate) fn answer(&mut self, position: usize) {
        let dispatch::Work::Search {
            snapshot, shard, ..
        } = &self.sent[position].1.work
        else {
            panic!("not a search");
        };
        let hits = (0..3)
            .map(|n| query_fixture::hit(snapshot.version, *shard, n))
            .collect();
        self.reply(position, query_fixture::answered(hits, 0));
    }

    pub(crate) fn shard(&self, position: usize) -> ids::ShardNumber {
        match &self.sent[position].1.work {
            dispatch::Work::Search { shard, .. } => *shard,
            dispatch::Work::Submit { .. } => panic!("not a search"),
        }
    }
}

pub(crate) fn failed(cause: dispatch::FailureCause) -> dispatch::SubOutcome {
    query_fixture::failed("failed-server", cause)
}

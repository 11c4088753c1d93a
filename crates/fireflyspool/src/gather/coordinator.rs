//! Coordinator of one query.

use std::time;

use crate::{gather, plan, view};

/// One query in its current state.
#[derive(Clone, Debug)]
pub enum Coordinator {
    /// Attempts are under way.
    Running(Box<gather::Query<gather::Running>>),
    /// The outcome was reported.
    Finished(gather::Query<gather::Finished>),
}

impl Coordinator {
    /// Starts a query that was received at `now`; returns it with its first actions.
    pub fn start(
        plan: plan::Plan,
        search: plan::Search,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> (Self, Vec<gather::Action>) {
        Self::start_received(plan, search, now, view, budgets, now, entropy)
    }

    /// Like [`Coordinator::start`], for a query that has waited since `received`,
    /// from which its deadline counts.
    pub fn start_received(
        plan: plan::Plan,
        search: plan::Search,
        received: time::Instant,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> (Self, Vec<gather::Action>) {
        let mut context = gather::context::Context {
            view,
            budgets,
            now,
            entropy: gather::split_mix64::SplitMix64(entropy),
        };
        gather::Query::new(plan, search, received).run(&mut context)
    }

    /// Handles an event and returns the actions that follow from it.
    ///
    /// Replies that are late, duplicated or from an owner that was not asked have
    /// no effect. The driver must report [`gather::Event::CallerGone`] before
    /// it drops a running query; otherwise its attempts stay counted as load of
    /// their owners.
    pub fn handle(
        &mut self,
        event: gather::Event,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<gather::Action> {
        let mut context = gather::context::Context {
            view,
            budgets,
            now,
            entropy: gather::split_mix64::SplitMix64(entropy),
        };
        let abandoned = Self::Finished(gather::Query::abandoned());
        match std::mem::replace(self, abandoned) {
            Self::Running(query) => {
                let (next, actions) = query.handle(event, &mut context);
                *self = next;
                actions
            }
            finished @ Self::Finished(_) => {
                *self = finished;
                Vec::new()
            }
        }
    }

    /// When [`gather::Event::Timer`] is due; `None` once the query is finished.
    pub fn next_wake(&self) -> Option<time::Instant> {
        match self {
            Self::Running(query) => Some(query.next_wake()),
            Self::Finished(_) => None,
        }
    }

    /// Whether the outcome was reported.
    pub fn is_finished(&self) -> bool {
        matches!(self, Self::Finished(_))
    }
}

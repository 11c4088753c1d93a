//! Coordinator of one query.

use std::time;

use crate::{gather, plan, view};

/// One query in whichever state it is.
#[derive(Clone, Debug)]
pub enum Coordinator {
    /// Attempts are under way.
    Running(Box<gather::Query<gather::Running>>),
    /// The outcome was reported.
    Finished(gather::Query<gather::Finished>),
}

impl Coordinator {
    /// Starts a query that was received now.
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

    /// Starts a query that was received earlier and has waited since; its
    /// deadline counts from `received`.
    pub fn start_received(
        plan: plan::Plan,
        search: plan::Search,
        received: time::Instant,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> (Self, Vec<gather::Action>) {
        let mut scene = gather::scene::Scene {
            view,
            budgets,
            now,
            entropy: gather::entropy::Entropy(entropy),
        };
        gather::Query::new(plan, search, received).run(&mut scene)
    }

    /// Takes an event and returns what follows from it.
    ///
    /// Replies that are late, doubled or from an owner that was not asked have
    /// no effect. The driver must report [`gather::Event::CallerGone`] before
    /// it drops a running query, so that the loads of the owners stay right.
    pub fn handle(
        &mut self,
        event: gather::Event,
        view: &view::View,
        budgets: &mut gather::Budgets,
        now: time::Instant,
        entropy: u64,
    ) -> Vec<gather::Action> {
        let mut scene = gather::scene::Scene {
            view,
            budgets,
            now,
            entropy: gather::entropy::Entropy(entropy),
        };
        let abandoned = Self::Finished(gather::Query::abandoned());
        match std::mem::replace(self, abandoned) {
            Self::Running(query) => {
                let (next, actions) = query.handle(event, &mut scene);
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

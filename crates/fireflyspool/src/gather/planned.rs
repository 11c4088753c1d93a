//! A query before anything was sent.

use std::time;

use crate::{gather, outcome, plan};

/// State of a query that is pinned to a version and has sent nothing.
#[derive(Clone, Debug)]
pub struct Planned {
    plan: plan::Plan,
    search: plan::Search,
    received: time::Instant,
}

impl gather::Query<Planned> {
    /// A query that was received at the given time.
    pub(super) fn new(plan: plan::Plan, search: plan::Search, received: time::Instant) -> Self {
        let state = Planned {
            plan,
            search,
            received,
        };
        Self { state }
    }

    /// Sends the first attempts, unless nothing may be sent any more.
    pub(super) fn run(
        self,
        scene: &mut gather::scene::Scene<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let Planned {
            plan,
            search,
            received,
        } = self.state;
        let query = gather::Query::running(plan, search, received, scene);
        if !scene.view.may_act(scene.now) {
            return query.refuse(outcome::RefusalReason::NoLease);
        }
        if scene.now >= query.state.ends_at {
            return query.refuse(outcome::RefusalReason::Deadline);
        }
        query.begin(gather::AttemptReason::First, scene)
    }
}

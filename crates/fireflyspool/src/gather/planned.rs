//! A query before its first attempt.

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
    /// Query whose deadline counts from `received`.
    pub(super) fn new(plan: plan::Plan, search: plan::Search, received: time::Instant) -> Self {
        let state = Planned {
            plan,
            search,
            received,
        };
        Self { state }
    }

    /// Sends the first attempts; refuses the query if the lease has ended or the
    /// deadline has passed.
    pub(super) fn run(
        self,
        context: &mut gather::context::Context<'_>,
    ) -> (gather::Coordinator, Vec<gather::Action>) {
        let Planned {
            plan,
            search,
            received,
        } = self.state;
        let query = gather::Query::running(plan, search, received, context);
        if !context.view.may_act(context.now) {
            return query.refuse(outcome::RefusalReason::NoLease);
        }
        if context.now >= query.state.ends_at {
            return query.refuse(outcome::RefusalReason::Deadline);
        }
        query.begin(gather::AttemptReason::First, context)
    }
}

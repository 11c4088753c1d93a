//! Arriving requests: early refusal and the bound of the queue.

use std::time;

use crate::{admission, outcome};

impl admission::Admission {
    pub(super) fn arrive(
        &mut self,
        kind: outcome::Kind,
        waiting: admission::waiting::Waiting,
        limits: &admission::Limits,
        now: time::Instant,
        actions: &mut Vec<admission::Action>,
    ) {
        let wait = self.expected_wait(kind, &waiting, limits);
        let refuse = |reason| admission::Action::Refuse {
            ticket: waiting.ticket,
            reason,
            retry_after: waiting
                .retry_after
                .unwrap_or(wait.max(admission::MIN_RETRY_AFTER)),
        };
        if waiting.deadline <= now {
            actions.push(refuse(outcome::RefusalReason::Deadline));
        } else if !wait.is_zero() && now + wait + self.limit.request_time(kind) > waiting.answer_by
        {
            actions.push(refuse(outcome::RefusalReason::Overloaded));
        } else {
            self.queue.push(kind, waiting);
        }
    }

    /// Expected waiting time of a request; zero only if it can start at once.
    fn expected_wait(
        &self,
        kind: outcome::Kind,
        waiting: &admission::waiting::Waiting,
        limits: &admission::Limits,
    ) -> time::Duration {
        let cost = u64::from(waiting.cost);
        let (urgent, own) = self.queue.cost_ahead(kind, waiting.deadline);
        if urgent + own == 0 && self.fits(cost) {
            return time::Duration::ZERO;
        }
        let mut ahead = urgent + own + cost;
        if kind != outcome::Kind::Urgent && limits.low_share > 0 {
            // The kind gets its share of starts even while more urgent requests wait.
            ahead = ahead.min((own + cost) * 1_000 / limits.low_share);
        }
        let shortest = time::Duration::from_micros(1);
        self.limit.drain_time(ahead).max(shortest)
    }

    /// Refuses requests while the queue is longer than its limit: each time the one
    /// with the latest deadline of the least urgent kind that exceeds its reserve.
    /// Urgent arrivals thus displace lower kinds down to the reserve of each.
    pub(super) fn shed_excess(
        &mut self,
        limits: &admission::Limits,
        actions: &mut Vec<admission::Action>,
    ) {
        while self.queue.len() > limits.queue {
            let exceeds_reserve = |kind: &outcome::Kind| {
                let reserve = match kind {
                    outcome::Kind::Urgent => 0,
                    outcome::Kind::Interactive | outcome::Kind::Deferrable => limits.reserve(),
                };
                self.queue.count(*kind) > reserve
            };
            let mut lowest_first = outcome::Kind::ALL.into_iter().rev();
            let Some(kind) = lowest_first.find(exceeds_reserve) else {
                return;
            };
            let Some(victim) = self.queue.pop_last(kind) else {
                return;
            };
            actions.push(admission::Action::Refuse {
                ticket: victim.ticket,
                reason: outcome::RefusalReason::Overloaded,
                retry_after: victim.retry_after.unwrap_or(
                    self.limit
                        .request_time(kind)
                        .max(admission::MIN_RETRY_AFTER),
                ),
            });
        }
    }
}

//! Arrivals: early refusal and the bound of the queue.

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
            retry_after: wait.max(admission::MIN_RETRY_AFTER),
        };
        if waiting.deadline <= now {
            actions.push(refuse(outcome::RefusalReason::Deadline));
        } else if !wait.is_zero() && now + wait + self.limit.hold(kind) > waiting.deadline {
            actions.push(refuse(outcome::RefusalReason::Overloaded));
        } else {
            self.queue.push(kind, waiting);
        }
    }

    /// Time that a request of this kind and deadline would wait; zero if it can start at once.
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
            // The kind keeps its share of starts however much urgent work waits.
            ahead = ahead.min((own + cost) * 1_000 / limits.low_share);
        }
        let shortest = time::Duration::from_micros(1);
        self.limit.drain_time(ahead).max(shortest)
    }

    /// Refuses what exceeds the bound of the queue: the latest of the lowest
    /// kind that holds more than its reserve. More urgent arrivals displace
    /// lower ones that way, down to the reserve of each lower kind.
    pub(super) fn trim(
        &mut self,
        limits: &admission::Limits,
        actions: &mut Vec<admission::Action>,
    ) {
        while self.queue.len() > limits.queue {
            let exceeds = |kind: &outcome::Kind| {
                let reserve = match kind {
                    outcome::Kind::Urgent => 0,
                    outcome::Kind::Interactive | outcome::Kind::Deferrable => limits.reserve(),
                };
                self.queue.count(*kind) > reserve
            };
            let mut lowest_first = outcome::Kind::ALL.into_iter().rev();
            let Some(kind) = lowest_first.find(exceeds) else {
                return;
            };
            let Some(victim) = self.queue.pop_last(kind) else {
                return;
            };
            actions.push(admission::Action::Refuse {
                ticket: victim.ticket,
                reason: outcome::RefusalReason::Overloaded,
                retry_after: self.limit.hold(kind).max(admission::MIN_RETRY_AFTER),
            });
        }
    }
}

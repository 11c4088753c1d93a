//! Sends of an exchange.

use std::time;

use crate::forward::attempt;
use crate::{fleet, forward};

/// Time in which the other refusals of the same request arrive, before it is
/// decided whether retries can complete it.
const REFUSAL_WAIT: time::Duration = time::Duration::from_millis(3);

/// Pause before the next look for a free backend server.
const STARVATION_STEP: time::Duration = time::Duration::from_millis(10);

impl forward::Exchange {
    /// Sends the first attempt of a part, or waits for a free server.
    pub(super) fn send_first(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        if self.send(part, fleet, entropy, now) {
            return;
        }
        let limit = self.timing.starvation;
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        let since = *open.state.starved.get_or_insert(now);
        let exhausted =
            now.saturating_duration_since(since) >= limit || !fleet.is_usable(&open.service, now);
        if exhausted {
            self.lose(part, None);
        } else {
            open.state.hedge_at = Some(now + STARVATION_STEP);
        }
    }

    /// Sends what a part is due: its first attempt or a hedge.
    pub(super) fn send_due(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        if open.state.hedge_at.is_none_or(|at| at > now) {
            return;
        }
        open.state.hedge_at = None;
        if open.state.refused {
            self.retry_refused(part, fleet, entropy, now);
        } else if open.state.running == 0 {
            self.send_first(part, fleet, entropy, now);
        } else {
            self.note_overdue(part, fleet, now);
            if self.may_repeat(part, fleet, now) && self.send(part, fleet, entropy, now) {
                self.hedges += 1;
            }
        }
    }

    /// Sends a part elsewhere after an attempt ended without an answer; gives
    /// the part up if that is not allowed and nothing runs.
    pub(super) fn send_again(
        &mut self,
        part: usize,
        failure: Option<forward::Answer>,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        if open.state.running > 0 {
            return;
        }
        if open.state.ran == 0 {
            open.state.refused = true;
            open.state.hedge_at = Some(now + REFUSAL_WAIT);
            return;
        }
        let allowed = self.may_repeat(part, fleet, now);
        if allowed && now < self.timing.deadline && self.send(part, fleet, entropy, now) {
            self.retries += 1;
        } else {
            self.lose(part, failure);
        }
    }

    /// Whether one more attempt may run beside or after one that may have run.
    fn may_repeat(&mut self, part: usize, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let (idempotent, attempts) = (self.route.idempotent, self.route.attempts);
        let Some(open) = self.parts[part].open_mut() else {
            return false;
        };
        idempotent
            && open.state.ran + open.state.running < attempts
            && self.take_repeat(part, fleet, now)
    }

    pub(super) fn take_repeat(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) -> bool {
        let service = self.parts[part].open_mut().map(|open| &open.service);
        service.is_some_and(|service| fleet.take_repeat(service, now))
    }

    pub(super) fn send(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> bool {
        let delay = forward::Timing::hedge_delay(&self.route, fleet.high_latency(&self.route));
        let hedged = self.route.idempotent;
        let Some(open) = self.parts[part].open_mut() else {
            return false;
        };
        let Some(picked) = fleet.pick(&open.service, &open.state.tried, entropy, now) else {
            return false;
        };
        open.state.tried.push(picked.server.clone());
        open.state.running += 1;
        open.state.hedge_at = hedged.then_some(now + delay);
        let service = open.service.clone();
        self.next_attempt += 1;
        self.attempts.push(attempt::Attempt {
            id: self.next_attempt,
            token: picked.token,
            part,
            server: picked.server.clone(),
            sent: now,
            overdue: false,
        });
        self.outbox.push(forward::Action::Send(forward::Send {
            attempt: self.next_attempt,
            token: picked.token,
            service,
            server: picked.server,
            address: picked.address,
            deadline: self.timing.deadline,
        }));
        true
    }

    fn note_overdue(&mut self, part: usize, fleet: &mut fleet::Fleet, now: time::Instant) {
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        let running = self.attempts.iter_mut();
        for attempt in running.filter(|attempt| attempt.part == part && !attempt.overdue) {
            attempt.overdue = true;
            let elapsed = now.saturating_duration_since(attempt.sent);
            let place = (open.service.as_str(), attempt.server.as_str());
            fleet.note_overdue(place, attempt.token, &self.route, elapsed, now);
        }
    }

    pub(super) fn lose(&mut self, part: usize, failure: Option<forward::Answer>) {
        self.parts[part] = self.parts[part].take().lose(failure);
    }
}

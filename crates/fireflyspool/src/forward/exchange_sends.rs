//! Sends of an exchange.

use std::time;

use crate::forward::{any_part, attempt};
use crate::{fleet, forward};

/// Attempts of one part that may be refused before the part is given up.
const REJECTION_LIMIT: usize = 3;

/// Share of lost parts above which sparing a service is worth its part.
const SATURATION: f64 = 0.3;

/// Time in which the other refusals of the same request arrive, before it is
/// decided whether retries can complete it.
const REFUSAL_WAIT: time::Duration = time::Duration::from_millis(3);

/// Pause before the next look for a free backend server.
const STARVATION_STEP: time::Duration = time::Duration::from_millis(10);

impl forward::Exchange {
    /// Gives up parts of saturated services, as many as the answer may miss.
    ///
    /// With more saturated services than that, each is spared by a part of the
    /// requests, so that the rest of them find it less loaded.
    pub(super) fn skip_saturated(
        &mut self,
        fleet: &fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let mut spare = self.parts.len() - self.required;
        let mut saturated = Vec::new();
        for part in 0..self.parts.len() {
            let Some(open) = self.parts[part].open_mut() else {
                continue;
            };
            if !fleet.is_usable(&open.service, now) {
                spare = spare.saturating_sub(1);
            } else if fleet.loss_rate(&open.service, now) > SATURATION {
                saturated.push(part);
            }
        }
        if saturated.is_empty() {
            return;
        }
        let first = usize::try_from(entropy >> 32).unwrap_or(0) % saturated.len();
        saturated.rotate_left(first);
        for part in saturated.into_iter().take(spare) {
            if let Some(open) = self.parts[part].open_mut() {
                open.state.skipped = true;
            }
            self.lose(part, None);
        }
    }

    /// Sends the first attempt of a part, or notes that no server is free.
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

    /// Sends a refused part elsewhere, if the request can still be completed.
    ///
    /// A request that has too many refused parts for its budget would only
    /// take retries from requests that can succeed.
    fn retry_refused(
        &mut self,
        part: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let hopeless = self.lacks_retries(fleet, now);
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        open.state.refused = false;
        let allowed = !hopeless
            && open.state.rejected <= REJECTION_LIMIT
            && now < self.timing.deadline
            && self.take_repeat(part, fleet, now);
        if allowed && self.send(part, fleet, entropy, now) {
            self.retries += 1;
        } else {
            self.lose(part, None);
        }
    }

    /// Whether more parts are refused than retries and missing parts can make up for.
    fn lacks_retries(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let mut present = 0;
        for part in &mut self.parts {
            let counts = match part {
                any_part::AnyPart::Filled(_) => true,
                any_part::AnyPart::Lost(_) => false,
                any_part::AnyPart::Open(open) => {
                    !open.state.refused || fleet.allows_repeat(&open.service, now)
                }
            };
            present += usize::from(counts);
        }
        present < self.required
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

    fn take_repeat(&mut self, part: usize, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let service = self.parts[part].open_mut().map(|open| &open.service);
        service.is_some_and(|service| fleet.take_repeat(service, now))
    }

    fn send(
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

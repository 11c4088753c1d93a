//! State machine of one request.

use std::{sync, time};

use crate::forward::{any_part, attempt};
use crate::{configuration, fleet, forward, ids};

/// Pause after which a refused caller may try again.
///
/// Backend servers that are out of reach report about once a second.
pub(super) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);

/// One request under way.
pub struct Exchange {
    pub(super) route: sync::Arc<configuration::Route>,
    pub(super) timing: forward::Timing,
    pub(super) parts: Vec<any_part::AnyPart>,
    pub(super) attempts: Vec<attempt::Attempt>,
    pub(super) next_attempt: ids::AttemptId,
    /// Parts that make a sufficient answer.
    pub(super) required: usize,
    pub(super) finished: bool,
    pub(super) hedges: u32,
    pub(super) retries: u32,
    pub(super) outbox: Vec<forward::Action>,
}

impl Exchange {
    /// Starts a request on its route.
    pub fn start(
        route: sync::Arc<configuration::Route>,
        timing: forward::Timing,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> (Self, Vec<forward::Action>) {
        let (services, required) = match &route.target {
            configuration::Target::Gather(gather) => (gather.shards.clone(), gather.required()),
            _ => (fleet.choose_service(&route).into_iter().collect(), 1),
        };
        let mut exchange = Self {
            route,
            timing,
            parts: Vec::with_capacity(services.len()),
            attempts: Vec::with_capacity(services.len()),
            next_attempt: 0,
            required,
            finished: false,
            hedges: 0,
            retries: 0,
            outbox: Vec::with_capacity(services.len() + 1),
        };
        let usable = |service: &ids::ServiceName| fleet.is_usable(service, now);
        let reachable = services.iter().filter(|service| usable(service)).count();
        let refused = reachable < required
            || services.is_empty()
            || !forward::likelihood::admits(&services, required, fleet, entropy, now);
        if refused {
            exchange.finish(forward::Verdict::Refused {
                retry_after: RETRY_PAUSE,
            });
            let actions = std::mem::take(&mut exchange.outbox);
            return (exchange, actions);
        }
        for service in services {
            fleet.note_request(&service, now);
            let part = forward::Part::new(service);
            exchange.parts.push(any_part::AnyPart::Open(part));
        }
        exchange.skip_saturated(fleet, entropy, now);
        for part in 0..exchange.parts.len() {
            exchange.send_first(part, fleet, entropy.rotate_left(part as u32), now);
        }
        let actions = exchange.settle(now);
        (exchange, actions)
    }

    /// Takes the end of an attempt.
    pub fn ended(
        &mut self,
        attempt: ids::AttemptId,
        end: forward::AttemptEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        let position = self.attempts.iter().position(|open| open.id == attempt);
        if let Some(position) = position {
            let attempt = self.attempts.swap_remove(position);
            self.take_end(&attempt, end, fleet, entropy, now);
        }
        self.settle(now)
    }

    /// Does what is due.
    pub fn wake(
        &mut self,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        for part in 0..self.parts.len() {
            self.send_due(part, fleet, entropy.rotate_left(part as u32), now);
        }
        self.settle(now)
    }

    /// Hedges that were sent.
    pub fn hedges(&self) -> u32 {
        self.hedges
    }

    /// Retries that were sent.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    fn settle(&mut self, now: time::Instant) -> Vec<forward::Action> {
        if !self.finished {
            match self.decide(now) {
                Some(verdict) => self.finish(verdict),
                None => {
                    let wake = self.next_wake(now);
                    self.outbox.push(forward::Action::WakeAt(wake));
                }
            }
        }
        std::mem::take(&mut self.outbox)
    }

    /// Tells the fleet which services had a part in the answer.
    pub fn note_parts(&self, fleet: &mut fleet::Fleet, now: time::Instant) {
        for part in &self.parts {
            match part {
                any_part::AnyPart::Open(part) => fleet.note_part(&part.service, false, now),
                any_part::AnyPart::Filled(part) => fleet.note_part(&part.service, true, now),
                any_part::AnyPart::Lost(part) if !part.state.skipped => {
                    fleet.note_part(&part.service, false, now);
                }
                any_part::AnyPart::Lost(_) => {}
            }
        }
    }

    fn finish(&mut self, verdict: forward::Verdict) {
        self.finished = true;
        self.outbox.push(forward::Action::Finish(verdict));
    }

    fn next_wake(&self, now: time::Instant) -> time::Instant {
        let times = [
            self.timing.cutoff,
            self.timing.objective,
            self.timing.late_cutoff,
        ];
        let ahead = times.into_iter().filter(|time| *time > now);
        let parts = self.parts.iter().filter_map(|part| match part {
            any_part::AnyPart::Open(part) => part.state.hedge_at,
            _ => None,
        });
        let first = ahead.chain(parts).min();
        first.map_or(self.timing.deadline, |first| {
            first.min(self.timing.deadline)
        })
    }
}

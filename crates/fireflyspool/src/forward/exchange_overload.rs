//! Sub-requests to saturated services, which reject requests.

use std::time;

use crate::forward::{any_sub_request, likelihood};
use crate::{fleet, forward};

/// Rejected attempts after which a sub-request is still retried; one more fails it.
const REJECTION_LIMIT: usize = 3;

/// The same for a ranked request during a shortage, whose rejected attempts may go to the same
/// backend server again: with three servers for a shard that reject 60% each, a fifth of the
/// sub-requests would fail otherwise.
const SHORTAGE_REJECTION_LIMIT: usize = 7;

/// Probability of enough responses below which a ranked request spends no more retries during
/// a shortage.
const MIN_CHANCE: f64 = 0.05;

/// Failure rate above which a service counts as saturated: relieving it is then
/// worth more than its shard in the answer.
const SATURATION_RATE: f64 = 0.3;

impl forward::Exchange {
    /// Skips sub-requests to saturated services, as many as the answer may miss.
    ///
    /// If more services are saturated than that, a random choice skips each of
    /// them in some requests, so that the other requests find it less loaded.
    pub(super) fn skip_saturated(
        &mut self,
        fleet: &fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let mut spare = self.sub_requests.len() - self.required;
        let mut saturated = Vec::new();
        for index in 0..self.sub_requests.len() {
            let Some(pending) = self.sub_requests[index].pending_mut() else {
                continue;
            };
            if !fleet.is_usable(&pending.service, now) {
                spare = spare.saturating_sub(1);
            } else if fleet.failure_rate(&pending.service, now) > SATURATION_RATE {
                saturated.push(index);
            }
        }
        if saturated.is_empty() {
            return;
        }
        let first = usize::try_from(entropy >> 32).unwrap_or(0) % saturated.len();
        saturated.rotate_left(first);
        for index in saturated.into_iter().take(spare) {
            if let Some(pending) = self.sub_requests[index].pending_mut() {
                pending.state.skipped = true;
            }
            self.fail(index, None);
        }
    }

    /// Retries a rejected sub-request if the request can still get enough responses.
    ///
    /// A request with more rejected sub-requests than the retry budget covers
    /// would only take retries from requests that can succeed.
    pub(super) fn retry_rejected(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let cannot_complete = self.cannot_complete(fleet, now);
        let in_shortage = self.kind.is_some() && fleet.is_short(now);
        let limit = match in_shortage {
            true => SHORTAGE_REJECTION_LIMIT,
            false => REJECTION_LIMIT,
        };
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        pending.state.retry_pending = false;
        let allowed = !cannot_complete
            && pending.state.rejected <= limit
            && now < self.timing.deadline
            && self.take_retry(index, fleet, now);
        let sent = allowed
            && (self.send(index, fleet, entropy, now)
                || in_shortage && self.send_to_rejecting(index, fleet, entropy, now));
        if sent {
            self.retries += 1;
        } else {
            self.fail(index, None);
        }
    }

    /// Sends an attempt although all backend servers have rejected the sub-request. They may
    /// get it again, because it has not run on any of them.
    fn send_to_rejecting(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> bool {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return false;
        };
        if pending.state.ran + pending.state.running > 0 {
            return false;
        }
        pending.state.tried.clear();
        self.send(index, fleet, entropy, now)
    }

    /// Whether the request can no longer get enough responses.
    ///
    /// A rejected sub-request counts as possible if the retry budget of its
    /// service has a retry left.
    fn cannot_complete(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let reserved = self.reserved(fleet, now);
        let mut possible = 0;
        for sub_request in &mut self.sub_requests {
            let counts = match sub_request {
                any_sub_request::AnySubRequest::Answered(_) => true,
                any_sub_request::AnySubRequest::Failed(_) => false,
                any_sub_request::AnySubRequest::Pending(pending) => {
                    !pending.state.retry_pending
                        || fleet.remaining_retries(&pending.service, reserved, now) >= 1.0
                }
            };
            possible += usize::from(counts);
        }
        possible < self.required
            || self.kind.is_some() && fleet.is_short(now) && self.is_unlikely(reserved, fleet, now)
    }

    /// Whether the request is so unlikely to get enough responses that its retries are of more
    /// use to others.
    fn is_unlikely(&self, reserved: f64, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let rates = self.sub_requests.iter().map(|state| match state {
            any_sub_request::AnySubRequest::Answered(_) => 0.0,
            any_sub_request::AnySubRequest::Failed(_) => 1.0,
            any_sub_request::AnySubRequest::Pending(pending) => {
                let attempts = usize::from(!pending.state.retry_pending);
                let service = &pending.service;
                likelihood::failure_probability(service, attempts, reserved, fleet, now)
            }
        });
        let rates: Vec<f64> = rates.collect();
        likelihood::success_probability(&rates, self.required) < MIN_CHANCE
    }
}

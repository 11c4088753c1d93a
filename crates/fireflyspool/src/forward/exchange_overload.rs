//! Sub-requests to saturated services, which reject requests.

use std::time;

use crate::forward::any_sub_request;
use crate::{fleet, forward};

/// Rejected attempts after which a sub-request is still retried; one more fails it.
const REJECTION_LIMIT: usize = 3;

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
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        pending.state.retry_pending = false;
        let allowed = !cannot_complete
            && pending.state.rejected <= REJECTION_LIMIT
            && now < self.timing.deadline
            && self.take_retry(index, fleet, now);
        if allowed && self.send(index, fleet, entropy, now) {
            self.retries += 1;
        } else {
            self.fail(index, None);
        }
    }

    /// Whether the request can no longer get enough responses.
    ///
    /// A rejected sub-request counts as possible if the retry budget of its
    /// service has a retry left.
    fn cannot_complete(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) -> bool {
        let mut possible = 0;
        for sub_request in &mut self.sub_requests {
            let counts = match sub_request {
                any_sub_request::AnySubRequest::Answered(_) => true,
                any_sub_request::AnySubRequest::Failed(_) => false,
                any_sub_request::AnySubRequest::Pending(pending) => {
                    !pending.state.retry_pending || fleet.allows_retry(&pending.service, now)
                }
            };
            possible += usize::from(counts);
        }
        possible < self.required
    }
}

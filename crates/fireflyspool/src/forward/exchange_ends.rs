//! Handling of ended attempts, and the decision on the answer.

use std::time;

use crate::forward::{any_sub_request, attempt, retry_time};
use crate::{configuration, fleet, forward, ids};

/// Part of a query above which only the records that can be in the answer are kept until it is
/// complete.
const LARGE_PART_BYTES: usize = 4 * 1024;

impl forward::Exchange {
    pub(super) fn handle_end(
        &mut self,
        attempt: &attempt::Attempt,
        end: forward::AttemptEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let index = attempt.index;
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        pending.state.running = pending.state.running.saturating_sub(1);
        if matches!(end, forward::AttemptEnd::Answered(_)) {
            self.responded(fleet, entropy, now);
        } else if end == forward::AttemptEnd::Crashed {
            self.crashed(attempt);
        }
        let usable =
            matches!(&end, forward::AttemptEnd::Answered(response) if self.is_usable(response));
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        match end {
            forward::AttemptEnd::Answered(mut response) if usable => {
                if let configuration::Target::Gather(gather) = &self.route.target
                    && response.body.len() > LARGE_PART_BYTES
                {
                    let records = forward::merge_top([response.body.as_ref()], gather.top_k);
                    response.body = records.into();
                }
                self.sub_requests[index] = self.sub_requests[index].take().complete(response);
            }
            forward::AttemptEnd::Answered(response) => {
                pending.state.ran += 1;
                self.send_again(index, Some(response), fleet, entropy, now);
            }
            forward::AttemptEnd::Full if fleet.bounds_connections(&pending.service) => {
                pending.state.tried.retain(|tried| *tried != attempt.server);
                self.send_elsewhere(index, fleet, entropy, now);
            }
            forward::AttemptEnd::Rejected
            | forward::AttemptEnd::Full
            | forward::AttemptEnd::WrongServer
            | forward::AttemptEnd::Unreachable => {
                pending.state.rejected += 1;
                self.send_again(index, None, fleet, entropy, now);
            }
            forward::AttemptEnd::Broken
            | forward::AttemptEnd::Crashed
            | forward::AttemptEnd::TimedOut => {
                pending.state.ran += 1;
                self.send_again(index, None, fleet, entropy, now);
            }
        }
    }

    /// Whether a response completes its sub-request. Without a signature, the answer to a query
    /// could not name the shard whose records it has.
    fn is_usable(&self, response: &forward::Response) -> bool {
        let is_query = matches!(self.route.target, configuration::Target::Gather(_));
        response.is_success() && (!is_query || response.signature.is_some())
    }

    /// The outcome, or `None` while more attempts may still change it.
    pub(super) fn decide(
        &self,
        fleet: &fleet::Fleet,
        now: time::Instant,
    ) -> Option<forward::Outcome> {
        match &self.route.target {
            configuration::Target::Gather(gather) => self.decide_gather(gather.top_k, fleet, now),
            _ => self.decide_single(fleet, now),
        }
    }

    fn decide_single(&self, fleet: &fleet::Fleet, now: time::Instant) -> Option<forward::Outcome> {
        match self.sub_requests.first()? {
            any_sub_request::AnySubRequest::Answered(answered) => {
                Some(forward::Outcome::Passed(answered.state.response.clone()))
            }
            any_sub_request::AnySubRequest::Failed(failed) => Some(match &failed.state.failure {
                Some(failure) => forward::Outcome::Passed(failure.clone()),
                None => self.without_response(fleet, now),
            }),
            any_sub_request::AnySubRequest::Pending(_) if now >= self.timing.deadline => {
                Some(self.without_response(fleet, now))
            }
            any_sub_request::AnySubRequest::Pending(_) => None,
        }
    }

    fn decide_gather(
        &self,
        top_k: usize,
        fleet: &fleet::Fleet,
        now: time::Instant,
    ) -> Option<forward::Outcome> {
        let is_pending = |state: &&any_sub_request::AnySubRequest| {
            matches!(state, any_sub_request::AnySubRequest::Pending(_))
        };
        let is_answered = |state: &&any_sub_request::AnySubRequest| {
            matches!(state, any_sub_request::AnySubRequest::Answered(_))
        };
        let pending = self.sub_requests.iter().filter(is_pending).count();
        let answered = self.sub_requests.iter().filter(is_answered).count();
        if pending == 0 || answered + pending < self.required || now >= self.timing.deadline {
            return Some(match answered >= self.required {
                true => self.gather(top_k),
                false => self.without_response(fleet, now),
            });
        }
        let at_cutoff = now >= self.timing.cutoff && now < self.timing.objective;
        let past_late_cutoff = now >= self.timing.late_cutoff;
        (answered >= self.required && (at_cutoff || past_late_cutoff)).then(|| self.gather(top_k))
    }

    fn gather(&self, top_k: usize) -> forward::Outcome {
        let responses = self.sub_requests.iter().filter_map(|state| match state {
            any_sub_request::AnySubRequest::Answered(answered) => Some(&answered.state.response),
            _ => None,
        });
        let bodies = responses.clone().map(|response| response.body.as_ref());
        let merged = self.merged.iter().map(|body| body.as_ref());
        let body = forward::merge_top(bodies.chain(merged), top_k);
        let signatures: Vec<_> = responses
            .filter_map(|response| response.signature.clone())
            .collect();
        forward::Outcome::Gathered {
            missing: self.sub_requests.len() - signatures.len(),
            signatures,
            body: body.into(),
        }
    }

    /// Outcome without a usable response: refused only if certainly nothing ran.
    fn without_response(&self, fleet: &fleet::Fleet, now: time::Instant) -> forward::Outcome {
        let ran = self.sub_requests.iter().any(|state| match state {
            any_sub_request::AnySubRequest::Pending(pending) => {
                pending.state.ran + pending.state.running > 0
            }
            any_sub_request::AnySubRequest::Answered(_) => true,
            any_sub_request::AnySubRequest::Failed(failed) => failed.state.ran,
        });
        match ran {
            false => {
                let services = self.sub_requests.iter().map(|state| state.service());
                let (required, deadline) = (self.required, self.timing.deadline);
                let retry_after = retry_time::retry_after(services, required, fleet, deadline, now);
                forward::Outcome::Refused { retry_after }
            }
            true if now >= self.timing.deadline => forward::Outcome::TimedOut,
            true => forward::Outcome::Failed,
        }
    }

    /// Services whose sub-request has no response yet, for logs.
    pub fn pending_services(&self) -> Vec<&ids::ServiceName> {
        let services = self.sub_requests.iter().filter_map(|state| match state {
            any_sub_request::AnySubRequest::Pending(pending) => Some(&pending.service),
            _ => None,
        });
        services.collect()
    }
}

//! Gathering of a group of shards for another entry VM.
//!
//! Each shard gets one attempt. The first answer has all shards, or goes out when those that
//! have not responded are due for a hedge: it says which ones they are, and the entry VM that
//! delegated the group hedges and retries them itself. So the attempts of a shard, the retry
//! budget and the answer to the caller are decided in one place. Shards that respond later
//! are in further answers: in one at the cutoff, and after it as they come.

use std::{sync, time};

use crate::forward::{any_sub_request, gathered_group};
use crate::{configuration, containment, fleet, forward};

impl forward::Exchange {
    /// Starts to gather a group. It is not refused, and sends nothing again that may have run.
    pub fn start_group(
        group: &forward::Group,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> (Self, Vec<forward::Action>) {
        let route = sync::Arc::new(group.route());
        let wait = forward::Timing::hedge_delay(&route, fleet.high_latency(&route));
        let timing = forward::Timing::of_group(group, now);
        let mut exchange = Self::new(route, (group.content, timing), group.services.clone(), 0);
        let shards = group.services.len();
        exchange.gathered = Some(gathered_group::GatheredGroup::new(wait, shards));
        if fleet.verdict(group.content, now) == containment::Verdict::Accepted {
            exchange.send_all(fleet, entropy, now);
        } else {
            // The VM that delegates decides on probes.
            for index in 0..shards {
                exchange.fail_suspected(index);
            }
        }
        let actions = exchange.advance(fleet, now);
        (exchange, actions)
    }

    /// Fails a sub-request without an attempt, because its content is suspect.
    fn fail_suspected(&mut self, index: usize) {
        if let Some(pending) = self.sub_requests[index].pending_mut() {
            pending.state.crashed = true;
        }
        self.fail(index, None);
    }

    /// Answers the group if that is due.
    pub(super) fn advance_group(&mut self, now: time::Instant) {
        let Some(group) = &mut self.gathered else {
            return;
        };
        let is_pending = |state: &any_sub_request::AnySubRequest| {
            matches!(state, any_sub_request::AnySubRequest::Pending(_))
        };
        let unreported = |(state, reported): (&any_sub_request::AnySubRequest, &bool)| {
            !reported && matches!(state, any_sub_request::AnySubRequest::Answered(_))
        };
        let due = group.report_at.is_some_and(|at| at <= now);
        let late = now >= self.timing.cutoff
            && self
                .sub_requests
                .iter()
                .zip(&group.reported)
                .any(unreported);
        if due {
            group.report_at = None;
        }
        let is_over = now >= self.timing.deadline;
        if due || late || is_over {
            self.fail_parked();
        }
        let last = is_over || !self.sub_requests.iter().any(is_pending);
        if last || due || late {
            let answer = self.group_answer();
            self.finished = last;
            self.actions.push(forward::Action::Report(answer));
        }
    }

    /// Fails the sub-requests that are parked: an answer tells the VM that delegated the group
    /// that nothing more comes of them, so none may be sent later.
    fn fail_parked(&mut self) {
        for index in self.parked() {
            self.fail(index, None);
        }
    }

    /// The shards that no answer has had so far, and those that are missing.
    fn group_answer(&mut self) -> forward::GroupAnswer {
        let top_k = match &self.route.target {
            configuration::Target::Gather(gather) => gather.top_k,
            _ => 0,
        };
        let mut answer = forward::GroupAnswer::default();
        let mut bodies = Vec::new();
        let Some(group) = &mut self.gathered else {
            return answer;
        };
        for (position, state) in self.sub_requests.iter().enumerate() {
            let (tried, running, ran, crashed) = match state {
                any_sub_request::AnySubRequest::Answered(sub_request) => {
                    let response = &sub_request.state.response;
                    if let Some(signature) = &response.signature
                        && !group.reported[position]
                    {
                        group.reported[position] = true;
                        answer.answered.push((position, signature.clone()));
                        bodies.push(response.body.as_ref());
                    }
                    continue;
                }
                any_sub_request::AnySubRequest::Pending(pending) => {
                    let state = &pending.state;
                    let ran = state.ran + state.running > 0;
                    (&state.tried, true, ran, state.crashed)
                }
                any_sub_request::AnySubRequest::Failed(failed) => {
                    let state = &failed.state;
                    (&state.tried, false, state.ran, state.crashed)
                }
            };
            answer.missing.push(forward::MissingShard {
                position,
                tried: tried.clone(),
                running,
                ran,
                crashed,
            });
        }
        answer.body = forward::merge_top(bodies, top_k).into();
        answer
    }
}

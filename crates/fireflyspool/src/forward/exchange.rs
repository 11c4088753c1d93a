//! State machine of one caller request.

use std::{sync, time};

use crate::forward::{any_sub_request, attempt, caution, gathered_group, running_group};
use crate::{configuration, containment, fleet, forward, ids, outcome};

/// A caller request that is being forwarded.
pub struct Exchange {
    pub(super) route: sync::Arc<configuration::Route>,
    pub(super) timing: forward::Timing,
    pub(super) content: ids::Fingerprint,
    /// Kind by priority; `None` if requests are not ranked.
    pub(super) kind: Option<outcome::Kind>,
    pub(super) caution: caution::Caution,
    pub(super) sub_requests: Vec<any_sub_request::AnySubRequest>,
    pub(super) attempts: Vec<attempt::Attempt>,
    /// Delegated groups that have not ended.
    pub(super) groups: Vec<running_group::RunningGroup>,
    /// Merged records of the groups that were answered.
    pub(super) merged: Vec<bytes::Bytes>,
    /// Progress for the entry VM that delegated this group; `None` for a caller's request.
    pub(super) gathered: Option<gathered_group::GatheredGroup>,
    pub(super) next_attempt: ids::AttemptId,
    /// Responses that make a sufficient answer.
    pub(super) required: usize,
    pub(super) finished: bool,
    /// Whether nothing more may be sent.
    pub(super) barred: bool,
    pub(super) hedges: u32,
    pub(super) retries: u32,
    /// Answers to groups that could not be accounted for.
    pub(super) refused_answers: u32,
    /// Not yet returned to the driver.
    pub(super) actions: Vec<forward::Action>,
}

impl Exchange {
    /// Starts a request on its route.
    ///
    /// Refuses it if servers crash under its content, if too few services have a usable
    /// backend server or, at random, if under overload it is unlikely to get enough responses.
    pub fn start(
        route: sync::Arc<configuration::Route>,
        content: ids::Fingerprint,
        timing: forward::Timing,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> (Self, Vec<forward::Action>) {
        Self::start_of_kind(route, (content, None), timing, fleet, entropy, now)
    }

    /// Starts a request like [`Self::start`]; one with a kind has been admitted by
    /// [`crate::admission`] and is not refused at random.
    pub fn start_of_kind(
        route: sync::Arc<configuration::Route>,
        (content, kind): (ids::Fingerprint, Option<outcome::Kind>),
        timing: forward::Timing,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> (Self, Vec<forward::Action>) {
        let verdict = fleet.verdict(content, now);
        if let containment::Verdict::Refused { until } = verdict {
            let retry_after = until.saturating_duration_since(now);
            let mut exchange = Self::new(route, (content, timing), Vec::new(), 0);
            exchange.caution = caution::Caution::Refused;
            exchange.finish(forward::Outcome::Refused { retry_after });
            let actions = std::mem::take(&mut exchange.actions);
            return (exchange, actions);
        }
        let (services, required) = match &route.target {
            configuration::Target::Gather(gather) => (gather.shards.clone(), gather.required()),
            _ => (fleet.choose_service(&route).into_iter().collect(), 1),
        };
        let usable = |service: &ids::ServiceName| fleet.is_usable(service, now);
        let reachable = services.iter().filter(|service| usable(service)).count();
        let refused = reachable < required
            || services.is_empty()
            || (kind.is_none()
                && !forward::likelihood::admits(&services, required, fleet, entropy, now));
        if refused {
            let deadline = timing.deadline;
            let retry_after =
                forward::retry_time::retry_after(&services, required, fleet, deadline, now);
            let mut exchange = Self::new(route, (content, timing), Vec::new(), required);
            exchange.finish(forward::Outcome::Refused { retry_after });
            let actions = std::mem::take(&mut exchange.actions);
            return (exchange, actions);
        }
        for service in &services {
            fleet.record_request(service, now);
        }
        let mut exchange = Self::new(route, (content, timing), services, required);
        exchange.kind = kind;
        exchange.skip_saturated(fleet, entropy, now);
        if verdict == containment::Verdict::Probe {
            exchange.start_suspected();
            exchange.probe(fleet, entropy, now);
        } else {
            exchange.delegate(fleet, entropy, now);
            exchange.send_all(fleet, entropy, now);
        }
        let actions = exchange.advance(fleet, now);
        (exchange, actions)
    }

    pub(super) fn new(
        route: sync::Arc<configuration::Route>,
        (content, timing): (ids::Fingerprint, forward::Timing),
        services: Vec<ids::ServiceName>,
        required: usize,
    ) -> Self {
        let count = services.len();
        let pending = services.into_iter().map(|service| {
            any_sub_request::AnySubRequest::Pending(forward::SubRequest::new(service))
        });
        Self {
            route,
            timing,
            content,
            kind: None,
            caution: caution::Caution::Unknown,
            sub_requests: pending.collect(),
            attempts: Vec::with_capacity(count),
            groups: Vec::new(),
            merged: Vec::new(),
            gathered: None,
            next_attempt: 0,
            required,
            finished: false,
            barred: false,
            hedges: 0,
            retries: 0,
            refused_answers: 0,
            actions: Vec::with_capacity(count + 1),
        }
    }

    /// Sends the first attempts of the sub-requests that are not delegated.
    pub(super) fn send_all(&mut self, fleet: &mut fleet::Fleet, entropy: u64, now: time::Instant) {
        for index in 0..self.sub_requests.len() {
            let pending = self.sub_requests[index].pending_mut();
            if pending.is_some_and(|pending| pending.state.running > 0) {
                continue;
            }
            self.send_first(index, fleet, entropy.rotate_left(index as u32), now);
        }
    }

    /// Handles the end of an attempt; ignores one that is unknown.
    pub fn attempt_ended(
        &mut self,
        attempt: ids::AttemptId,
        end: forward::AttemptEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        let position = self
            .attempts
            .iter()
            .position(|running| running.id == attempt);
        if let Some(position) = position {
            let attempt = self.attempts.swap_remove(position);
            self.handle_end(&attempt, end, fleet, entropy, now);
            self.probe(fleet, entropy, now);
        }
        self.advance(fleet, now)
    }

    /// Sends the hedges, retries and delayed first attempts that are due.
    pub fn wake(
        &mut self,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        for index in 0..self.sub_requests.len() {
            self.send_due(index, fleet, entropy.rotate_left(index as u32), now);
        }
        self.hedge_groups(fleet, entropy, now);
        self.probe(fleet, entropy, now);
        self.advance(fleet, now)
    }

    /// Handles that all attempts returned so far are written to their connections.
    ///
    /// Their time counts from now: a VM without processor time takes a while to write
    /// many of them, which says nothing about their backend servers.
    pub fn attempts_written(
        &mut self,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        let (mut count, mut longest) = (0, time::Duration::ZERO);
        for attempt in self.attempts.iter_mut().filter(|attempt| !attempt.written) {
            attempt.written = true;
            let delay = now.saturating_duration_since(attempt.sent);
            attempt.sent = now;
            count += 1;
            longest = longest.max(delay);
            if let Some(pending) = self.sub_requests[attempt.index].pending_mut()
                && let Some(wake_at) = &mut pending.state.wake_at
            {
                *wake_at += delay;
            }
        }
        fleet.record_written(count, longest);
        for group in self.groups.iter_mut().filter(|group| !group.written) {
            group.written = true;
            let delay = now.saturating_duration_since(group.sent);
            group.sent = now;
            group.hedge_at = group.hedge_at.map(|at| at + delay);
        }
        if let Some(group) = &mut self.gathered {
            group.written(now);
        }
        self.advance(fleet, now)
    }

    /// Brings the deadline forward, because this VM shuts down; it is never put off.
    pub fn limit_deadline(
        &mut self,
        deadline: time::Instant,
        fleet: &fleet::Fleet,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        self.timing.deadline = self.timing.deadline.min(deadline);
        self.advance(fleet, now)
    }

    /// Whether the outcome is decided.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Number of hedges sent so far.
    pub fn hedges(&self) -> u32 {
        self.hedges
    }

    /// Number of retries sent so far.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    /// Number of answers to delegated groups that were refused.
    pub fn refused_answers(&self) -> u32 {
        self.refused_answers
    }

    /// Answers what is due or sets the next wake-up, and returns the actions.
    pub(super) fn advance(
        &mut self,
        fleet: &fleet::Fleet,
        now: time::Instant,
    ) -> Vec<forward::Action> {
        if !self.finished {
            match self.gathered.is_some() {
                true => self.advance_group(now),
                false => self.advance_request(fleet, now),
            }
        }
        if !self.finished {
            let wake = self.next_wake(now);
            self.actions.push(forward::Action::WakeAt(wake));
        }
        std::mem::take(&mut self.actions)
    }

    /// Records in the fleet which services contributed to the answer.
    pub fn report_sub_requests(&self, fleet: &mut fleet::Fleet, now: time::Instant) {
        for sub_request in &self.sub_requests {
            match sub_request {
                any_sub_request::AnySubRequest::Pending(pending) => {
                    fleet.record_sub_request(&pending.service, false, now);
                }
                any_sub_request::AnySubRequest::Answered(answered) => {
                    fleet.record_sub_request(&answered.service, true, now);
                }
                any_sub_request::AnySubRequest::Failed(failed) if !failed.state.skipped => {
                    fleet.record_sub_request(&failed.service, false, now);
                }
                any_sub_request::AnySubRequest::Failed(_) => {}
            }
        }
    }

    fn advance_request(&mut self, fleet: &fleet::Fleet, now: time::Instant) {
        if let Some(outcome) = self.decide(fleet, now) {
            self.finish(outcome);
        }
    }

    fn finish(&mut self, outcome: forward::Outcome) {
        self.finished = true;
        self.actions.push(forward::Action::Finish(outcome));
    }

    fn next_wake(&self, now: time::Instant) -> time::Instant {
        let times = [
            self.timing.cutoff,
            self.timing.objective,
            self.timing.late_cutoff,
        ];
        let ahead = times.into_iter().filter(|time| *time > now);
        let wakes = self.sub_requests.iter().filter_map(|state| match state {
            any_sub_request::AnySubRequest::Pending(pending) => pending.state.wake_at,
            _ => None,
        });
        let groups = self.groups.iter().filter_map(|group| group.hedge_at);
        let report = self.gathered.as_ref().and_then(|group| group.report_at);
        let first = ahead.chain(wakes).chain(groups).chain(report).min();
        first.map_or(self.timing.deadline, |first| {
            first.min(self.timing.deadline)
        })
    }
}

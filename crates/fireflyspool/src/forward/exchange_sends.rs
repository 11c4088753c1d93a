//! Sending of first attempts, hedges and retries.

use std::time;

use crate::forward::attempt;
use crate::{fleet, forward};

/// Wait between a rejected attempt and the decision to retry it. Rejections of the
/// other sub-requests arrive meanwhile and show whether retries can complete the request.
const REJECTION_WAIT: time::Duration = time::Duration::from_millis(3);

/// Time for which a hedge is put off while all other servers are congested.
const CONGESTION_WAIT: time::Duration = time::Duration::from_millis(20);

/// Interval at which a queued first attempt looks for a free backend server.
const QUEUE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl forward::Exchange {
    /// Sends the first attempt of a sub-request, or queues it until a server is free.
    pub(super) fn send_first(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let picked = self.sub_requests[index].pending_mut().and_then(|pending| {
            fleet.pick_first(&pending.service, &pending.state.tried, entropy, now)
        });
        if let Some(picked) = picked {
            self.start_attempt(index, picked, fleet, now);
            return;
        }
        let limit = self.timing.queue_timeout;
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        let since = *pending.state.queued_since.get_or_insert(now);
        let exhausted = now.saturating_duration_since(since) >= limit
            || !fleet.is_usable(&pending.service, now);
        if exhausted {
            self.fail(index, None);
        } else {
            pending.state.wake_at = Some(now + QUEUE_POLL_INTERVAL);
        }
    }

    /// Sends the attempt of a sub-request that is due: first attempt, hedge or retry.
    pub(super) fn send_due(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        if pending.state.wake_at.is_none_or(|at| at > now) {
            return;
        }
        pending.state.wake_at = None;
        let idle = pending.state.running == 0;
        if idle && self.park(index) {
            return;
        }
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        if pending.state.retry_pending {
            self.retry_rejected(index, fleet, entropy, now);
        } else if pending.state.running == 0 {
            self.send_first(index, fleet, entropy, now);
        } else {
            self.report_overdue(index, fleet, now);
            if self.defer_hedge(index, fleet, now) {
                return;
            }
            if !self.caution.is_suspected()
                && self.may_retry(index, fleet, now)
                && self.send(index, fleet, entropy, now)
            {
                self.hedges += 1;
            }
        }
    }

    /// Retries a sub-request after an attempt without a successful response.
    ///
    /// Fails the sub-request if no retry is allowed and no attempt is running. If
    /// no attempt can have run, [`Self::retry_rejected`] decides a moment later.
    pub(super) fn send_again(
        &mut self,
        index: usize,
        failure: Option<forward::Response>,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        if pending.state.running > 0 || self.park(index) {
            return;
        }
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        if pending.state.ran == 0 {
            pending.state.retry_pending = true;
            pending.state.wake_at = Some(now + REJECTION_WAIT);
            return;
        }
        let allowed = self.may_retry(index, fleet, now);
        if allowed && now < self.timing.deadline && self.send(index, fleet, entropy, now) {
            self.retries += 1;
        } else {
            self.fail(index, failure);
        }
    }

    /// Sends a sub-request to another server, because one refused the connection.
    ///
    /// Nothing has reached a server, so this takes no retry from the budget, and a hedge or retry
    /// keeps the one that it has taken. A server that refused is not picked again for a while,
    /// which bounds the number of attempts.
    pub(super) fn send_elsewhere(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        let is_first = pending.state.ran + pending.state.rejected == 0;
        let is_alone = pending.state.running == 0;
        if self.caution.is_suspected() {
            self.park(index);
            return;
        }
        let in_time = now < self.timing.deadline;
        if in_time && is_alone && is_first {
            self.send_first(index, fleet, entropy, now);
            return;
        }
        let sent = in_time && self.send(index, fleet, entropy, now);
        if !sent && is_alone {
            self.fail(index, None);
        }
    }

    /// Puts a hedge off while the other servers have just stated that they are slow or full.
    fn defer_hedge(&mut self, index: usize, fleet: &fleet::Fleet, now: time::Instant) -> bool {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return false;
        };
        let deferred = fleet.is_congested(&pending.service, &pending.state.tried, now);
        if deferred {
            pending.state.wake_at = Some(now + CONGESTION_WAIT);
        }
        deferred
    }

    /// Whether one more attempt may run although an earlier one may have run; takes
    /// a retry from the budget.
    pub(super) fn may_retry(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) -> bool {
        let (idempotent, max_attempts) = (self.route.idempotent, self.route.max_attempts);
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return false;
        };
        idempotent
            && pending.state.ran + pending.state.running < max_attempts
            && self.take_retry(index, fleet, now)
    }

    pub(super) fn send(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> bool {
        if self.barred {
            return false;
        }
        let picked = self.sub_requests[index]
            .pending_mut()
            .and_then(|pending| fleet.pick(&pending.service, &pending.state.tried, entropy, now));
        let Some(picked) = picked else {
            return false;
        };
        self.start_attempt(index, picked, fleet, now);
        true
    }

    fn start_attempt(
        &mut self,
        index: usize,
        picked: fleet::PickedServer,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) {
        let delay = forward::Timing::hedge_delay(&self.route, fleet.high_latency(&self.route));
        let hedged = self.route.idempotent;
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        pending.state.tried.push(picked.server.clone());
        pending.state.running += 1;
        pending.state.wake_at = hedged.then_some(now + delay);
        let service = pending.service.clone();
        self.next_attempt += 1;
        self.attempts.push(attempt::Attempt {
            id: self.next_attempt,
            token: picked.token,
            index,
            server: picked.server.clone(),
            born: picked.born,
            probe: false,
            sent: now,
            written: false,
            overdue: false,
        });
        self.actions.push(forward::Action::Send(forward::Send {
            attempt: self.next_attempt,
            token: picked.token,
            service,
            server: picked.server,
            born: picked.born,
            address: picked.address,
            kept: picked.kept,
            probe: false,
            deadline: self.timing.deadline,
        }));
    }

    fn report_overdue(&mut self, index: usize, fleet: &mut fleet::Fleet, now: time::Instant) {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return;
        };
        let running = self.attempts.iter_mut();
        for attempt in running.filter(|attempt| attempt.index == index && !attempt.overdue) {
            attempt.overdue = true;
            let elapsed = now.saturating_duration_since(attempt.sent);
            let key = (pending.service.as_str(), attempt.server.as_str());
            fleet.record_overdue(key, attempt.token, &self.route, elapsed, now);
        }
    }

    pub(super) fn fail(&mut self, index: usize, failure: Option<forward::Response>) {
        self.sub_requests[index] = self.sub_requests[index].take().fail(failure);
    }
}

//! Caution with contents under which servers crash.
//!
//! Once a server has crashed and none has responded, sub-requests that would send another
//! attempt are parked. Attempts that are under way may still show that the content is
//! harmless. If they do not, the crashes are reported, and parked sub-requests send one probe
//! after another, until a server responds or the content is refused.

use std::{mem, time};

use crate::forward::{any_sub_request, attempt, caution};
use crate::{containment, fleet, forward, ids};

/// Rejected attempts of a sub-request after which it sends no further probe.
const REJECTION_LIMIT: usize = 3;

impl forward::Exchange {
    /// Parks all sub-requests, because the content is suspect from the start.
    pub(super) fn start_suspected(&mut self) {
        let crashes = Vec::new();
        self.caution = caution::Caution::Suspected { crashes };
        for index in 0..self.sub_requests.len() {
            self.park(index);
        }
    }

    /// Parks a sub-request without a running attempt if the content is suspect; returns whether
    /// it is.
    pub(super) fn park(&mut self, index: usize) -> bool {
        if !self.caution.is_suspected() {
            return false;
        }
        if let Some(pending) = self.sub_requests[index].pending_mut()
            && pending.state.running == 0
        {
            pending.state.parked = true;
            pending.state.retry_pending = false;
            pending.state.wake_at = None;
        }
        true
    }

    /// Handles that the server of an attempt crashed.
    pub(super) fn crashed(&mut self, attempt: &attempt::Attempt) {
        let crash = containment::Crash {
            server: attempt.server.clone(),
            born: attempt.born,
            probe: attempt.probe,
            unseen: false,
        };
        self.suspect(Some(crash));
        if let Some(pending) = self.sub_requests[attempt.index].pending_mut() {
            pending.state.crashed = true;
        }
    }

    /// Suspects the content unless a server has responded; `crash` is yet to be reported.
    pub(super) fn suspect(&mut self, crash: Option<containment::Crash>) {
        match &mut self.caution {
            caution::Caution::Unknown => {
                let crashes = Vec::from_iter(crash);
                self.caution = caution::Caution::Suspected { crashes };
            }
            caution::Caution::Suspected { crashes } => crashes.extend(crash),
            caution::Caution::Harmless | caution::Caution::Refused => {}
        }
    }

    /// Handles that a server has responded, and sends what was parked.
    pub(super) fn responded(&mut self, fleet: &mut fleet::Fleet, entropy: u64, now: time::Instant) {
        let former = mem::replace(&mut self.caution, caution::Caution::Harmless);
        if !former.is_suspected() {
            return;
        }
        fleet.clear_content(self.content);
        for index in 0..self.sub_requests.len() {
            let entropy = entropy.rotate_left(index as u32);
            let Some(pending) = self.sub_requests[index].pending_mut() else {
                continue;
            };
            if !mem::take(&mut pending.state.parked) {
                continue;
            }
            match pending.state.ran + pending.state.rejected {
                0 => self.send_first(index, fleet, entropy, now),
                _ => self.send_again(index, None, fleet, entropy, now),
            }
        }
    }

    /// Sends a probe if the content is suspect and attempts under way have had their time.
    pub(super) fn probe(&mut self, fleet: &mut fleet::Fleet, entropy: u64, now: time::Instant) {
        if self.finished || !self.caution.is_suspected() {
            return;
        }
        let delay = forward::Timing::hedge_delay(&self.route, fleet.high_latency(&self.route));
        let attempts = self.attempts.iter().map(|attempt| attempt.sent + delay);
        let groups = self.groups.iter().map(|group| group.sent + delay);
        let busy_until = attempts.chain(groups).max().filter(|until| *until > now);
        let parked = self.parked();
        if let Some(until) = busy_until {
            let first = parked.first().copied();
            if let Some(pending) = first.and_then(|index| self.sub_requests[index].pending_mut()) {
                pending.state.wake_at = Some(until);
            }
            return;
        }
        self.report_crashes(fleet, now);
        // The VM that delegated a group decides on probes.
        let refused = self.gathered.is_some() || fleet.is_refused(self.content, now);
        for index in parked {
            let entropy = entropy.rotate_left(index as u32);
            if !refused && self.send_probe(index, fleet, entropy, now) {
                return;
            }
            self.fail(index, None);
        }
    }

    /// Reports the crashes under a content that no server has responded to.
    pub fn report_crashes(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) {
        if let caution::Caution::Suspected { crashes } = &mut self.caution {
            for crash in mem::take(crashes) {
                fleet.record_crash(self.content, crash, now);
            }
        }
    }

    /// Handles the end of an attempt after the outcome; nothing more is sent.
    pub fn attempt_ended_late(
        &mut self,
        attempt: ids::AttemptId,
        end: &forward::AttemptEnd,
        fleet: &mut fleet::Fleet,
        now: time::Instant,
    ) {
        let mut running = self.attempts.iter();
        let Some(position) = running.position(|running| running.id == attempt) else {
            return;
        };
        let attempt = self.attempts.swap_remove(position);
        match end {
            forward::AttemptEnd::Crashed => {
                self.crashed(&attempt);
                self.report_crashes(fleet, now);
            }
            forward::AttemptEnd::Answered(_) if self.caution.is_suspected() => {
                self.caution = caution::Caution::Harmless;
                fleet.clear_content(self.content);
            }
            forward::AttemptEnd::Answered(_) => self.caution = caution::Caution::Harmless,
            _ => {}
        }
    }

    /// Whether crashes are known that were not reported.
    pub fn has_unreported_crashes(&self) -> bool {
        matches!(&self.caution, caution::Caution::Suspected { crashes } if !crashes.is_empty())
    }

    /// Reports the crashes of a request that has ended, and that its probe is over.
    pub fn end_caution(&mut self, fleet: &mut fleet::Fleet, now: time::Instant) {
        self.report_crashes(fleet, now);
        if self.caution.is_suspected() {
            fleet.end_probe(self.content);
        }
    }

    /// What the request has shown about its content, for logs.
    pub fn caution(&self) -> &'static str {
        self.caution.label()
    }

    /// Whether the request was refused because servers crash under its content.
    pub fn is_refused_content(&self) -> bool {
        matches!(self.caution, caution::Caution::Refused)
    }

    pub(super) fn parked(&self) -> Vec<usize> {
        let states = self.sub_requests.iter().enumerate();
        let parked = states.filter(|(_, state)| {
            matches!(state, any_sub_request::AnySubRequest::Pending(pending) if pending.state.parked)
        });
        parked.map(|(index, _)| index).collect()
    }

    fn send_probe(
        &mut self,
        index: usize,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) -> bool {
        let Some(pending) = self.sub_requests[index].pending_mut() else {
            return false;
        };
        pending.state.parked = false;
        let (ran, rejected) = (pending.state.ran, pending.state.rejected);
        let again = ran + rejected > 0;
        let allowed = match (ran, rejected) {
            (0, 0) => true,
            (0, _) => rejected <= REJECTION_LIMIT && self.take_retry(index, fleet, now),
            _ => self.may_retry(index, fleet, now),
        };
        let sent = allowed && now < self.timing.deadline && self.send(index, fleet, entropy, now);
        if sent {
            self.retries += u32::from(again);
            fleet.start_probe(self.content, self.timing.deadline);
            if let Some(attempt) = self.attempts.last_mut() {
                attempt.probe = true;
            }
            if let Some(forward::Action::Send(send)) = self.actions.last_mut() {
                send.probe = true;
            }
        }
        sent
    }
}

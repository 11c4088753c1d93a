//! Requests of a control VM to join the control group.
//!
//! Only the leader can add a member. A VM that starts knows a few control VMs, none of which
//! needs to lead, so it asks one after the other and follows the leader that a reply names.

use std::{net, time};

/// Time for the log to list a VM whose request was accepted, and for a call to end.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Pause after a reply that names no leader, and after a call without a reply.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Decides which control VM to ask next, and when.
#[derive(Debug)]
pub struct JoinRequests {
    due: time::Instant,
    /// Number of requests to VMs that no reply named.
    asked: usize,
    /// Leader that a reply named and that was not asked since.
    named: Option<net::SocketAddr>,
    /// Whether the last request went to a VM that a reply named.
    redirected: bool,
}

impl JoinRequests {
    /// The first request is due at once.
    pub fn new(now: time::Instant) -> Self {
        Self {
            due: now,
            asked: 0,
            named: None,
            redirected: false,
        }
    }

    /// Whether a request is due.
    pub fn is_due(&self, now: time::Instant) -> bool {
        now >= self.due
    }

    /// When the next request is due.
    pub fn due(&self) -> time::Instant {
        self.due
    }

    /// Control VM to ask now: the leader that a reply named, else the next candidate.
    ///
    /// `None` if there is no candidate.
    pub fn next(
        &mut self,
        candidates: &[net::SocketAddr],
        now: time::Instant,
    ) -> Option<net::SocketAddr> {
        self.due = now + REQUEST_INTERVAL;
        self.redirected = self.named.is_some();
        if let Some(leader) = self.named.take() {
            return Some(leader);
        }
        self.asked += 1;
        let position = self.asked.checked_rem(candidates.len())?;
        Some(candidates[position])
    }

    /// Handles a reply of a VM that does not lead; `leader` is the listener of the one that does.
    pub fn refused(&mut self, leader: Option<net::SocketAddr>, now: time::Instant) {
        // Two VMs that name each other must not send the requests to and fro without a pause.
        let pause = match leader.is_some() && !self.redirected {
            true => time::Duration::ZERO,
            false => RETRY_PAUSE,
        };
        self.named = leader;
        self.due = now + pause;
    }

    /// Handles a request without a reply.
    pub fn unanswered(&mut self, now: time::Instant) {
        self.due = now + RETRY_PAUSE;
    }
}

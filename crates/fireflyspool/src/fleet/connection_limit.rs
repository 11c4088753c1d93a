//! Connections that this entry VM opens to one backend server.

use std::time;

/// Connections beyond the share that the preferred server may have for overlapping requests.
const BURST: usize = 1;

/// Pause in new connections after the first refused one, before it is spread.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(800);

/// Longest pause, before it is spread. Idle connections of other VMs expire within 15 s, but a
/// shard whose servers are all paused is missing until the end of the pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(4);

/// This VM's limit for a server, lowered for a while when the server refuses a connection.
#[derive(Debug)]
pub(super) struct ConnectionLimit {
    /// Connections that this VM may keep; `None` if the server has room for all entry VMs.
    share: Option<usize>,
    /// Whether no other server of the service is preferred to it.
    preferred: bool,
    /// Limit until the end of the pause.
    ceiling: usize,
    paused_until: Option<time::Instant>,
    /// Length of the last pause; doubled by the next refusal.
    pause: time::Duration,
}

impl ConnectionLimit {
    /// Limit of a server that has refused nothing.
    pub(super) fn new() -> Self {
        Self {
            share: None,
            preferred: false,
            ceiling: 0,
            paused_until: None,
            pause: time::Duration::ZERO,
        }
    }

    /// Sets the share of this VM.
    pub(super) fn set_share(&mut self, share: Option<usize>, preferred: bool) {
        self.share = share;
        self.preferred = preferred;
    }

    /// Connections that may be kept while they are idle; `None` for the usual number.
    pub(super) fn kept(&self) -> Option<usize> {
        self.share
    }

    /// Concurrent attempts allowed; `None` if the server has room for all entry VMs.
    ///
    /// Connections beyond the share are closed after the response, and none is opened during a
    /// pause.
    pub(super) fn value(&self, now: time::Instant) -> Option<usize> {
        let share = self.share?;
        Some(match self.preferred {
            _ if self.is_paused(now) => share.min(self.ceiling),
            true => share + BURST,
            false => share.max(1),
        })
    }

    /// Whether no connection is opened because the server refused one recently.
    fn is_paused(&self, now: time::Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Records that the server refused a connection while `running` other attempts had one.
    ///
    /// `spread`, 0 to 1, differs between entry VMs, which otherwise return at the same time.
    pub(super) fn record_refused(&mut self, running: usize, spread: f64, now: time::Instant) {
        if self.is_paused(now) {
            // Connections that were opened together are refused together.
            self.ceiling = self.ceiling.min(running);
            return;
        }
        self.ceiling = running;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.paused_until = Some(now + self.pause.mul_f64(0.5 + spread));
    }

    /// Records a response; one after the pause shows that the server has room again.
    pub(super) fn record_answered(&mut self, now: time::Instant) {
        if !self.is_paused(now) {
            self.pause = time::Duration::ZERO;
        }
    }
}

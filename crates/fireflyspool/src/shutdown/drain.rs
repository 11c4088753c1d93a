//! Graceful shutdown as a typestate.

use std::time;

use crate::shutdown;

/// Graceful shutdown of an entry VM in phase `P`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain<P> {
    phase: P,
}

impl Default for Drain<shutdown::Serving> {
    fn default() -> Self {
        Self {
            phase: shutdown::Serving,
        }
    }
}

impl Drain<shutdown::Serving> {
    /// Starts the shutdown.
    ///
    /// `staleness` is the longest time for which another entry VM may still
    /// list this one in its address answers; `lifetime` is how long a caller
    /// keeps such an answer.
    pub fn announce(
        self,
        staleness: time::Duration,
        lifetime: time::Duration,
        now: time::Instant,
    ) -> Drain<shutdown::Announcing> {
        Drain {
            phase: shutdown::Announcing {
                until: now + staleness + lifetime,
            },
        }
    }
}

impl Drain<shutdown::Announcing> {
    /// Earliest time at which new requests may be refused.
    pub fn until(&self) -> time::Instant {
        self.phase.until
    }

    /// Starts to refuse new requests; running ones get `longest_request` to finish.
    ///
    /// # Errors
    ///
    /// Returns itself unchanged while a caller may hold an address answer that lists this VM.
    pub fn refuse(
        self,
        longest_request: time::Duration,
        now: time::Instant,
    ) -> Result<Drain<shutdown::Refusing>, Self> {
        if now < self.phase.until {
            return Err(self);
        }
        Ok(Drain {
            phase: shutdown::Refusing {
                limit: now + longest_request,
            },
        })
    }
}

impl Drain<shutdown::Refusing> {
    /// Time at which requests that still run are aborted.
    pub fn deadline(&self) -> time::Instant {
        self.phase.limit
    }

    /// Ends the shutdown.
    ///
    /// # Errors
    ///
    /// Returns itself unchanged while requests run and the deadline has not passed.
    pub fn close(
        self,
        running: usize,
        now: time::Instant,
    ) -> Result<Drain<shutdown::Closed>, Self> {
        if running > 0 && now < self.phase.limit {
            return Err(self);
        }
        Ok(Drain {
            phase: shutdown::Closed { cut: running },
        })
    }
}

impl Drain<shutdown::Closed> {
    /// Number of requests that were still running at the deadline.
    pub fn aborted(&self) -> usize {
        self.phase.cut
    }
}

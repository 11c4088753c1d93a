//! Typestate of a shutdown.

use std::time;

use crate::shutdown;

/// Shutdown in one of its phases.
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
    /// name this one in its answers; `lifetime` is how long such an answer is
    /// kept by its caller.
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
    /// When the next phase may begin.
    pub fn until(&self) -> time::Instant {
        self.phase.until
    }

    /// Begins to refuse new requests.
    ///
    /// # Errors
    ///
    /// Returns itself unchanged if an address answer may still name this VM.
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
    /// When running requests are cut short.
    pub fn limit(&self) -> time::Instant {
        self.phase.limit
    }

    /// Ends the shutdown.
    ///
    /// # Errors
    ///
    /// Returns itself unchanged while requests run and the limit has not passed.
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
    /// Requests that were cut short.
    pub fn cut(&self) -> usize {
        self.phase.cut
    }
}

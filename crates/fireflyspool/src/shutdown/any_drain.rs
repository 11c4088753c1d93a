//! A shutdown in any phase.

use std::time;

use crate::shutdown;

/// A [`shutdown::Drain`] whose phase is known only at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnyDrain {
    /// No shutdown has begun.
    Serving(shutdown::Drain<shutdown::Serving>),
    /// Marked as leaving, still serving.
    Announcing(shutdown::Drain<shutdown::Announcing>),
    /// Refuses new requests; running ones finish.
    Refusing(shutdown::Drain<shutdown::Refusing>),
    /// All requests have finished or were aborted.
    Closed(shutdown::Drain<shutdown::Closed>),
}

impl Default for AnyDrain {
    fn default() -> Self {
        Self::Serving(shutdown::Drain::default())
    }
}

impl AnyDrain {
    /// Whether new requests are accepted.
    pub fn accepts(&self) -> bool {
        matches!(self, Self::Serving(_) | Self::Announcing(_))
    }

    /// Whether a shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        !matches!(self, Self::Serving(_))
    }

    /// Starts the shutdown; without effect once it has begun.
    #[must_use]
    pub fn announce(
        self,
        staleness: time::Duration,
        lifetime: time::Duration,
        now: time::Instant,
    ) -> Self {
        match self {
            Self::Serving(drain) => Self::Announcing(drain.announce(staleness, lifetime, now)),
            other => other,
        }
    }

    /// Moves to the next phase if its condition holds; `running` counts the requests in flight.
    #[must_use]
    pub fn advance(
        self,
        running: usize,
        longest_request: time::Duration,
        now: time::Instant,
    ) -> Self {
        match self {
            Self::Announcing(drain) => match drain.refuse(longest_request, now) {
                Ok(next) => Self::Refusing(next),
                Err(same) => Self::Announcing(same),
            },
            Self::Refusing(drain) => match drain.close(running, now) {
                Ok(next) => Self::Closed(next),
                Err(same) => Self::Refusing(same),
            },
            other => other,
        }
    }
}

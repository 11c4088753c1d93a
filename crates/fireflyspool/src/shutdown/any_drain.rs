//! A shutdown in any phase.

use std::time;

use crate::shutdown;

/// Holds the phases of [`shutdown::Drain`] in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnyDrain {
    /// Normal work.
    Serving(shutdown::Drain<shutdown::Serving>),
    /// Leaving, still serving.
    Announcing(shutdown::Drain<shutdown::Announcing>),
    /// Refusing new requests.
    Refusing(shutdown::Drain<shutdown::Refusing>),
    /// Nothing runs.
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

    /// Starts a shutdown; a second start changes nothing.
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

    /// Moves to the next phase if its condition holds.
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

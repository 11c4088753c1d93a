//! A life in any of its states.

use std::time;

use fireflyspool::{backend, ids};

use crate::searcher::life;

/// State that a searcher is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Crashed.
    Away(life::Life<life::Away>),
    /// Loading.
    Starting(life::Life<life::Starting>),
    /// Takes work.
    Ready(life::Life<life::Ready>),
    /// Refuses new work.
    Leaving(life::Life<life::Leaving>),
}

impl Stage {
    /// Incarnation.
    pub fn incarnation(&self) -> ids::Incarnation {
        match self {
            Self::Away(life) => life.incarnation(),
            Self::Starting(life) => life.incarnation(),
            Self::Ready(life) => life.incarnation(),
            Self::Leaving(life) => life.incarnation(),
        }
    }

    /// Phase to announce; nothing is announced while away.
    pub fn phase(&self) -> Option<backend::Phase> {
        match self {
            Self::Away(_) => None,
            Self::Starting(_) => Some(backend::Phase::Starting),
            Self::Ready(_) => Some(backend::Phase::Ready),
            Self::Leaving(_) => Some(backend::Phase::Leaving),
        }
    }

    /// When the state changes by itself.
    pub fn until(&self) -> Option<time::Instant> {
        match self {
            Self::Away(life) => Some(life.state().until),
            Self::Starting(life) => Some(life.state().until),
            Self::Ready(_) => None,
            Self::Leaving(life) => Some(life.state().until),
        }
    }

    /// State after a crash.
    pub fn crash(self, until: time::Instant) -> Self {
        match self {
            Self::Away(life) => Self::Away(life),
            Self::Starting(life) => Self::Away(life.crash(until)),
            Self::Ready(life) => Self::Away(life.crash(until)),
            Self::Leaving(life) => Self::Away(life.crash(until)),
        }
    }
}

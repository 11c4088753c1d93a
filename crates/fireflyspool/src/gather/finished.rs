//! A query after its end.

use crate::{gather, outcome};

/// State of a query whose outcome was reported.
#[derive(Clone, Debug)]
pub struct Finished {
    pub(super) outcome: Option<&'static str>,
}

impl gather::Query<Finished> {
    /// Placeholder while a transition owns the running query. It remains only if
    /// that transition panics; such a query must not be resumed.
    pub(super) fn abandoned() -> Self {
        Self {
            state: Finished { outcome: None },
        }
    }

    pub(super) fn finished(outcome: &outcome::Outcome) -> Self {
        let outcome = Some(outcome.name());
        Self {
            state: Finished { outcome },
        }
    }

    /// Name of the reported outcome; `None` if a transition panicked.
    pub fn outcome(&self) -> Option<&'static str> {
        self.state.outcome
    }
}

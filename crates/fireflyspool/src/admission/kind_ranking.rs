//! Kinds of requests by the priorities of a configuration.

use crate::outcome;

/// Distinct priorities that the routes of a configuration use, ascending.
///
/// Only their order matters: a site may use 1 and 2, or 0 and 10.
#[derive(Clone, Copy, Debug)]
pub struct KindRanking<'a> {
    priorities: &'a [u32],
}

impl<'a> KindRanking<'a> {
    /// Ranking of ascending, distinct priorities.
    pub fn new(priorities: &'a [u32]) -> Self {
        Self { priorities }
    }

    /// Kind of a request of this priority; `None` if all routes have the same one, because
    /// then no request goes before another.
    pub fn kind(&self, priority: u32) -> Option<outcome::Kind> {
        if self.priorities.len() < 2 {
            return None;
        }
        let rank = self.priorities.partition_point(|used| *used < priority);
        let last = outcome::Kind::ALL.len() - 1;
        Some(outcome::Kind::ALL[rank.min(last)])
    }
}

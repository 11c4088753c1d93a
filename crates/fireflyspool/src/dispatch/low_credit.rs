//! Guaranteed share of low kinds.

use crate::outcome;

/// Credit at which a kind is due a permit.
const DUE: u64 = 1_000;

/// Highest guaranteed share of all low kinds together, so that urgent ones keep something.
const MOST: u64 = 900;

/// What low kinds are owed at one backend server.
///
/// A kind below urgent that waits while a permit goes to another kind earns
/// its share; with a whole permit earned it goes first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LowCredit {
    earned: [u64; outcome::Kind::ALL.len()],
}

impl LowCredit {
    /// Settles one permit and returns the kind that gets it.
    ///
    /// `ahead` is the kind that is first in the queue order, `waits` tells
    /// which kinds have something that the permit could serve.
    pub(super) fn settle(
        &mut self,
        ahead: outcome::Kind,
        waits: [bool; outcome::Kind::ALL.len()],
        share: u64,
    ) -> outcome::Kind {
        let low = |kind: &outcome::Kind| *kind != outcome::Kind::Urgent && waits[kind.index()];
        let waiting = outcome::Kind::ALL.iter().filter(|kind| low(kind)).count();
        let most = MOST / u64::try_from(waiting.max(1)).unwrap_or(MOST);
        let mut chosen = ahead;
        for kind in outcome::Kind::ALL {
            let index = kind.index();
            if kind == ahead || !low(&kind) {
                continue;
            }
            self.earned[index] += share.min(most);
            let due = self.earned[index] >= DUE;
            let owed_most = chosen == ahead || self.earned[index] > self.earned[chosen.index()];
            if due && owed_most {
                chosen = kind;
            }
        }
        let left = &mut self.earned[chosen.index()];
        *left = left.saturating_sub(DUE);
        chosen
    }
}

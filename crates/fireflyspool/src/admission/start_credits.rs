//! Guaranteed share of starts for kinds below urgent.

use crate::outcome;

/// Credit of one start; shares are permille of it.
const START_CREDIT: u64 = 1_000;

/// Most credit that accumulates; bounds how many low requests start in a row.
const MAX_CREDIT: u64 = 2 * START_CREDIT;

/// Credit that waiting kinds earn each time a more urgent request starts.
#[derive(Clone, Debug, Default)]
pub(super) struct StartCredits {
    credits: [u64; outcome::Kind::ALL.len()],
}

impl StartCredits {
    /// Whether the kind has enough credit to start before more urgent ones.
    /// `share` is in permille, as everywhere here.
    pub(super) fn is_due(&self, kind: outcome::Kind, share: u64) -> bool {
        share > 0 && self.credits[kind.index()] >= START_CREDIT.saturating_sub(share)
    }

    /// Accounts for a start: the kind pays for it, waiting lower kinds earn their
    /// share, and a kind without waiting requests loses its credit.
    pub(super) fn started(
        &mut self,
        kind: outcome::Kind,
        waiting: impl Fn(outcome::Kind) -> bool,
        share: u64,
    ) {
        for other in outcome::Kind::ALL {
            let credit = &mut self.credits[other.index()];
            if !waiting(other) {
                *credit = 0;
            } else if other > kind {
                *credit = (*credit + share).min(MAX_CREDIT);
            }
        }
        let credit = &mut self.credits[kind.index()];
        *credit = credit.saturating_sub(START_CREDIT.saturating_sub(share));
    }
}

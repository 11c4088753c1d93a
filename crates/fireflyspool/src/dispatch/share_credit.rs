//! Guaranteed share of kinds below urgent.

use crate::outcome;

/// Credit that one permit costs, in permille.
const PERMIT_COST: u64 = 1_000;

/// Most that the waiting low kinds can be guaranteed together, in permille; the rest is for
/// urgent ones.
const MAX_TOTAL_SHARE: u64 = 900;

/// Credit of the low kinds at one backend server, as in deficit round robin.
///
/// A low kind is any kind below urgent. Each time another kind is first in
/// the queue order, a waiting low kind earns its share of a permit. Once it has
/// earned a whole permit, it goes first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareCredit {
    earned: [u64; outcome::Kind::ALL.len()],
}

impl ShareCredit {
    /// Returns the kind that gets the next permit, and charges it.
    ///
    /// `first` is the first kind in the queue order, `waiting` marks the kinds
    /// with a sub-request for this server, `share` is in permille.
    pub(super) fn next_kind(
        &mut self,
        first: outcome::Kind,
        waiting: [bool; outcome::Kind::ALL.len()],
        share: u64,
    ) -> outcome::Kind {
        let low = |kind: &outcome::Kind| *kind != outcome::Kind::Urgent && waiting[kind.index()];
        let low_count = outcome::Kind::ALL.iter().filter(|kind| low(kind)).count();
        let max_share =
            MAX_TOTAL_SHARE / u64::try_from(low_count.max(1)).unwrap_or(MAX_TOTAL_SHARE);
        let mut chosen = first;
        for kind in outcome::Kind::ALL {
            let index = kind.index();
            if kind == first || !low(&kind) {
                continue;
            }
            self.earned[index] += share.min(max_share);
            let due = self.earned[index] >= PERMIT_COST;
            let largest = chosen == first || self.earned[index] > self.earned[chosen.index()];
            if due && largest {
                chosen = kind;
            }
        }
        let credit = &mut self.earned[chosen.index()];
        *credit = credit.saturating_sub(PERMIT_COST);
        chosen
    }
}

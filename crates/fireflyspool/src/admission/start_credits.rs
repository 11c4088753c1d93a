//! Shares of starts for kinds below urgent.

use crate::outcome;

const WHOLE: u64 = 1_000;

/// Most credit that is saved up; bounds how many low requests start in a row.
const MAX_CREDIT: u64 = 2 * WHOLE;

/// Credit that waiting kinds earn when more urgent ones are started before them.
#[derive(Clone, Debug, Default)]
pub(super) struct LowShares {
    credit: [u64; outcome::Kind::ALL.len()],
}

impl LowShares {
    /// Whether the kind goes before more urgent ones now.
    pub(super) fn is_due(&self, kind: outcome::Kind, share: u64) -> bool {
        share > 0 && self.credit[kind.index()] >= WHOLE.saturating_sub(share)
    }

    /// Notes a start; the kinds given as waiting were passed over if they are lower.
    pub(super) fn started(
        &mut self,
        kind: outcome::Kind,
        waiting: impl Fn(outcome::Kind) -> bool,
        share: u64,
    ) {
        for other in outcome::Kind::ALL {
            let credit = &mut self.credit[other.index()];
            if !waiting(other) {
                *credit = 0;
            } else if other > kind {
                *credit = (*credit + share).min(MAX_CREDIT);
            }
        }
        let credit = &mut self.credit[kind.index()];
        *credit = credit.saturating_sub(WHOLE.saturating_sub(share));
    }
}

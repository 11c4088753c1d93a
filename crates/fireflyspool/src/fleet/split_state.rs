//! Smooth weighted round robin.

use crate::{configuration, ids};

/// Credits of the parts of one split.
#[derive(Debug, Default)]
pub(super) struct SplitState {
    credits: Vec<(ids::ServiceName, f64)>,
}

impl SplitState {
    /// The part that is furthest behind its weight.
    pub(super) fn next(
        &mut self,
        shares: &[configuration::SplitShare],
    ) -> Option<ids::ServiceName> {
        let names = |(credit, share): (&(ids::ServiceName, f64), &configuration::SplitShare)| {
            credit.0 == share.service
        };
        let same = self.credits.len() == shares.len() && self.credits.iter().zip(shares).all(names);
        if !same {
            let fresh = shares.iter().map(|share| (share.service.clone(), 0.0));
            self.credits = fresh.collect();
        }
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            credit.1 += share.weight;
        }
        let best = self.credits.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1))?;
        best.1 -= total;
        Some(best.0.clone())
    }
}

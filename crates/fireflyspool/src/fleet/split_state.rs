//! Smooth weighted round-robin choice among the services of a split.

use crate::{configuration, ids};

/// Credits of the services of one split.
#[derive(Debug, Default)]
pub(super) struct SplitState {
    credits: Vec<(ids::ServiceName, f64)>,
}

impl SplitState {
    /// Chooses the service that is furthest behind its weight; starts anew if the
    /// services have changed.
    pub(super) fn next(
        &mut self,
        shares: &[configuration::SplitShare],
    ) -> Option<ids::ServiceName> {
        let same_service =
            |(credit, share): (&(ids::ServiceName, f64), &configuration::SplitShare)| {
                credit.0 == share.service
            };
        let unchanged =
            self.credits.len() == shares.len() && self.credits.iter().zip(shares).all(same_service);
        if !unchanged {
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

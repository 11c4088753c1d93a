//! Backend servers of one service.

use std::time;

use crate::{fleet, ids, sorted};

/// Share of the random part of a score; spreads equal servers evenly.
const JITTER: f64 = 0.25;

/// Least connections of one entry VM to one backend server.
const LEAST_CONNECTIONS: usize = 3;

/// Servers of a service and the budget for repeats.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) targets: sorted::SortedMap<ids::ServerName, fleet::target::Target>,
    pub(super) budget: fleet::RepeatBudget,
    pub(super) losses: fleet::loss_rate::LossRate,
    /// Connections that one backend server accepts from all entry VMs.
    pub(super) connections: usize,
}

impl Pool {
    /// The usable server with the lowest score that is not excluded.
    pub(super) fn pick(
        &self,
        excluded: &[ids::ServerName],
        members: usize,
        entropy: u64,
        now: time::Instant,
    ) -> Option<(&ids::ServerName, &fleet::target::Target)> {
        let share = self.connections / members.max(1);
        let limit = share.max(LEAST_CONNECTIONS);
        let mut entropy = entropy;
        let mut best: Option<(f64, (&ids::ServerName, &fleet::target::Target))> = None;
        for (name, target) in self.targets.iter() {
            if !target.is_usable(now) || target.running >= limit || excluded.contains(name) {
                continue;
            }
            entropy = entropy.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let random = (entropy >> 40) as f64 / f64::from(1 << 24);
            let score = target.score(now) + JITTER * random;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, (name, target)));
            }
        }
        best.map(|(_, found)| found)
    }

    /// Whether any server is usable, whatever it runs.
    pub(super) fn is_usable(&self, now: time::Instant) -> bool {
        self.targets.values().any(|target| target.is_usable(now))
    }
}

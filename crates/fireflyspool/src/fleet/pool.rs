//! Backend servers of one service.

use std::time;

use crate::{fleet, ids, sorted};

/// Most that is added at random to a score, in units of a typical latency;
/// spreads load evenly over equal servers.
const MAX_JITTER: f64 = 0.25;

/// Concurrent attempts that one entry VM may always run on one backend server,
/// however small its share of the server's connections.
const MIN_CONNECTIONS: usize = 3;

/// Servers of a service, with the retry budget and failure rate of the service.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) servers: sorted::SortedMap<ids::ServerName, fleet::server_state::ServerState>,
    pub(super) budget: fleet::RetryBudget,
    pub(super) failures: fleet::failure_rate::FailureRate,
    /// Connections that one backend server accepts from all entry VMs together.
    pub(super) connections: usize,
    /// Whether this VM has sent an attempt to the service.
    pub(super) used: bool,
}

impl Pool {
    /// The usable server with the lowest score that is not excluded.
    pub(super) fn pick(
        &self,
        excluded: &[ids::ServerName],
        notices: &fleet::notices::Notices,
        members: usize,
        entropy: u64,
        now: time::Instant,
    ) -> Option<(&ids::ServerName, &fleet::server_state::ServerState)> {
        let share = self.connections / members.max(1);
        let limit = share.max(MIN_CONNECTIONS);
        let mut entropy = entropy;
        let mut best: Option<(f64, (&ids::ServerName, &fleet::server_state::ServerState))> = None;
        for (name, server) in self.servers.iter() {
            let usable = server.is_usable(now) && notices.allows(name, server.born, now);
            if !usable || server.running >= limit || excluded.contains(name) {
                continue;
            }
            entropy = entropy.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let random = (entropy >> 40) as f64 / f64::from(1 << 24);
            let score = server.score(now) + MAX_JITTER * random;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, (name, server)));
            }
        }
        best.map(|(_, entry)| entry)
    }

    /// When the first server is usable, even if it has no free connection: `now` at the
    /// earliest, `None` if that is not known.
    pub(super) fn usable_at(
        &self,
        notices: &fleet::notices::Notices,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let usable_at = |(name, server): (&ids::ServerName, &fleet::server_state::ServerState)| {
            let allowed_at = notices.usable_at(name, server.born, now)?;
            Some(allowed_at.max(server.usable_at(now)?))
        };
        self.servers.iter().filter_map(usable_at).min()
    }
}

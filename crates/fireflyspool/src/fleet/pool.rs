//! Backend servers of one service.

use std::{net, time};

use crate::{fleet, ids, sorted};

/// Most that is added at random to a score, in units of a typical latency;
/// spreads load evenly over equal servers.
const MAX_JITTER: f64 = 0.25;

/// Difference of scores up to which a server of another zone is as good as the best one, in
/// units of a typical latency; covers this VM's preference among those zones.
const SCORE_TOLERANCE: f64 = 1.5;

/// Concurrent attempts that one entry VM may always run on one backend server,
/// however small its share of the server's connections.
const MIN_CONNECTIONS: usize = 3;

/// Time from when a service becomes known for which connections to it are opened ahead; an
/// entry VM without requests for that long is not needed now.
const OPENING_WINDOW: time::Duration = time::Duration::from_secs(30);

/// Interval at which a connection that was opened ahead is checked and opened anew if its
/// server has closed it, or had no room for it.
const OPENING_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Servers of a service, with the retry budget and failure rate of the service.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) servers: sorted::SortedMap<ids::ServerName, fleet::server_state::ServerState>,
    pub(super) budget: fleet::RetryBudget,
    pub(super) failures: fleet::failure_rate::FailureRate,
    pub(super) rejections: fleet::shortage_meter::ShortageMeter,
    /// Connections that one backend server accepts from all entry VMs together.
    pub(super) connections: usize,
    /// Whether that is less than the number of entry VMs.
    pub(super) bounded: bool,
    /// Whether the limits of connections kept the last pick from the best server.
    pub(super) withheld: bool,
    /// When the service became known; `None` if it is not known yet.
    known_since: Option<time::Instant>,
    /// Server to which a connection was last opened ahead of the first attempt, and when it
    /// is checked again.
    opening: Option<(net::SocketAddr, time::Instant)>,
    /// Whether this VM has sent an attempt to the service.
    used: bool,
}

impl Pool {
    /// Pool of a service that has become known.
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            known_since: Some(now),
            ..Self::default()
        }
    }

    /// Server to which a connection is to be opened ahead of the first attempt; `None` if
    /// none is.
    ///
    /// It is the one that a first attempt would pick: another one at once when a better one
    /// has become known, and the same one every [`OPENING_INTERVAL`].
    pub(super) fn server_to_open(
        &mut self,
        notices: &fleet::notices::Notices,
        members: usize,
        now: time::Instant,
    ) -> Option<net::SocketAddr> {
        let since = self.known_since?;
        if self.used || now.saturating_duration_since(since) > OPENING_WINDOW {
            return None;
        }
        // Without entropy the choice stays the same while the servers do.
        let (_, server) = self.pick(&[], notices, members, 0, now)?;
        let address = server.address;
        let kept = |(opened, due)| opened == address && due > now;
        if self.opening.is_some_and(kept) {
            return None;
        }
        self.opening = Some((address, now + OPENING_INTERVAL));
        Some(address)
    }

    /// Counts an attempt, after which the service keeps its connections by itself.
    pub(super) fn mark_used(&mut self) {
        self.used = true;
    }

    /// The usable server with the lowest score that is not excluded.
    pub(super) fn pick(
        &mut self,
        excluded: &[ids::ServerName],
        notices: &fleet::notices::Notices,
        members: usize,
        entropy: u64,
        now: time::Instant,
    ) -> Option<(&ids::ServerName, &fleet::server_state::ServerState)> {
        let share = self.connections / members.max(1);
        let usual = share.max(MIN_CONNECTIONS);
        let mut withheld = f64::INFINITY;
        let mut entropy = entropy;
        let mut best: Option<(f64, (&ids::ServerName, &fleet::server_state::ServerState))> = None;
        for (name, server) in self.servers.iter() {
            let usable = server.is_usable(now) && notices.allows(name, server.born, now);
            if !usable || excluded.contains(name) {
                continue;
            }
            if server.running >= server.connections.value(now).unwrap_or(usual) {
                if self.bounded {
                    withheld = withheld.min(server.score(now));
                }
                continue;
            }
            entropy = entropy.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let random = (entropy >> 40) as f64 / f64::from(1 << 24);
            let score = server.score(now) + MAX_JITTER * random;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, (name, server)));
            }
        }
        self.withheld = withheld < best.map_or(f64::INFINITY, |(score, _)| score);
        best.map(|(_, entry)| entry)
    }

    /// Whether there are usable servers that are not excluded, and all have just stated that
    /// they are slow or full.
    pub(super) fn is_congested(
        &self,
        excluded: &[ids::ServerName],
        notices: &fleet::notices::Notices,
        now: time::Instant,
    ) -> bool {
        let is_candidate =
            |(name, server): &(&ids::ServerName, &fleet::server_state::ServerState)| {
                server.is_usable(now)
                    && notices.allows(name, server.born, now)
                    && !excluded.contains(name)
            };
        let mut candidates = self.servers.iter().filter(is_candidate).peekable();
        candidates.peek().is_some() && candidates.all(|(_, server)| server.is_congested(now))
    }

    /// Zones from which the service is reached best; empty if this VM's is one of them, and
    /// `None` if no server is usable.
    pub(super) fn best_zones(
        &self,
        notices: &fleet::notices::Notices,
        now: time::Instant,
    ) -> Option<Vec<&ids::ZoneName>> {
        let mut scores = Vec::with_capacity(self.servers.len());
        for (name, server) in self.servers.iter() {
            if server.is_usable(now) && notices.allows(name, server.born, now) {
                scores.push((server.score(now), server));
            }
        }
        let by_score =
            |(a, _): &&(f64, &fleet::server_state::ServerState), (b, _): &&(f64, _)| a.total_cmp(b);
        let (least, best) = scores.iter().min_by(by_score)?;
        let is_near = |(score, server): &&(f64, &fleet::server_state::ServerState)| {
            !best.local && !server.local && *score <= least + SCORE_TOLERANCE
        };
        let near = scores.iter().filter(is_near);
        Some(near.map(|(_, server)| &server.zone).collect())
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

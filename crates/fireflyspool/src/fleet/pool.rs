//! Backend servers of one service.

use std::{net, time};

use crate::{fleet, ids, rollout, sorted};

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

/// Time for which servers with a version that is new to a service wait for a rollout that names
/// it, while others serve. They start together with the command, which takes up to 6 s.
const NEW_VERSION_HOLD: time::Duration = time::Duration::from_secs(8);

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
    /// Latest rollout; `None` if there was none.
    pub(super) rollout: Option<fleet::pool_rollout::PoolRollout>,
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
        let versions = self.versions(notices, now);
        let (_, server) = self.pick(&[], (notices, versions), members, 0, now)?;
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

    /// When a new server may be used whose version no other server of the service has, unless
    /// a rollout names it; `None` if at once.
    pub(super) fn hold(&self, version: &str, now: time::Instant) -> Option<time::Instant> {
        if version.is_empty() || self.servers.is_empty() {
            return None;
        }
        let mut others = self.servers.values();
        // The servers with which a service becomes known are no sign of a rollout.
        let is_new = self.known_since != Some(now)
            && others.all(|other| other.version != version || other.is_held(now));
        is_new.then(|| now + NEW_VERSION_HOLD)
    }

    /// Takes over the latest rollout of the service.
    pub(super) fn set_rollout(
        &mut self,
        rollout: &rollout::AnyRollout,
        service: &str,
        incarnation: ids::Incarnation,
    ) {
        let number = rollout.number();
        let known = self.rollout.as_mut();
        match known.filter(|known| known.rollout.number() == number) {
            Some(known) => known.rollout = rollout.clone(),
            None => {
                let rollout = rollout.clone();
                let new = fleet::pool_rollout::PoolRollout::new(rollout, service, incarnation);
                self.rollout = Some(new);
            }
        }
        for state in self.servers.values_mut() {
            state.is_target = state.version == *rollout.target();
        }
    }

    /// Servers that hedges, retries and most first attempts may use.
    ///
    /// When a rollout is completed, the old servers stop at once, maybe before this VM hears of
    /// it. So the target version replaces an old one of which no server is left; servers that
    /// are cold or pause do not count as lost.
    pub(super) fn versions(
        &self,
        notices: &fleet::notices::Notices,
        now: time::Instant,
    ) -> fleet::versions::Versions {
        use fleet::versions::Versions;
        let serves = |versions: Versions| {
            self.servers.iter().any(|(name, server)| {
                versions.allows(server, now)
                    && server.usable_at(now).is_some()
                    && notices.usable_at(name, server.born, now).is_some()
            })
        };
        let Some(rollout) = &self.rollout else {
            let held = self.servers.values().any(|server| server.is_held(now));
            return match held && serves(Versions::Old) {
                true => Versions::Old,
                false => Versions::Any,
            };
        };
        match &rollout.rollout {
            rollout::AnyRollout::RolledBack(_) => Versions::Old,
            rollout::AnyRollout::InService(_)
                if !serves(Versions::Old) && serves(Versions::Target) =>
            {
                Versions::Target
            }
            rollout::AnyRollout::InService(_) => Versions::Old,
            rollout::AnyRollout::Completed(_)
                if !serves(Versions::Target) && serves(Versions::Old) =>
            {
                Versions::Old
            }
            rollout::AnyRollout::Completed(_) => Versions::Target,
        }
    }

    /// Whether the next first attempt goes to the target version of a rollout in progress.
    pub(super) fn owes_target(&self) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(fleet::pool_rollout::PoolRollout::owes_target)
    }

    /// The usable server with the lowest score that is not excluded.
    pub(super) fn pick(
        &mut self,
        excluded: &[ids::ServerName],
        (notices, versions): (&fleet::notices::Notices, fleet::versions::Versions),
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
            if !versions.allows(server, now) || !usable || excluded.contains(name) {
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
        let versions = self.versions(notices, now);
        let mut scores = Vec::with_capacity(self.servers.len());
        for (name, server) in self.servers.iter() {
            if versions.allows(server, now)
                && server.is_usable(now)
                && notices.allows(name, server.born, now)
            {
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
        let versions = self.versions(notices, now);
        let usable_at = |(name, server): (&ids::ServerName, &fleet::server_state::ServerState)| {
            if !versions.allows(server, now) {
                return None;
            }
            let allowed_at = notices.usable_at(name, server.born, now)?;
            Some(allowed_at.max(server.usable_at(now)?))
        };
        self.servers.iter().filter_map(usable_at).min()
    }
}

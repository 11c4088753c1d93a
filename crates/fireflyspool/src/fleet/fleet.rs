//! Backend servers by service, with the statistics of this VM's attempts.

use std::{net, time};

use crate::{backend, configuration, containment, fleet, hashing, hub, ids, rollout, sorted};

/// Age of the last confirmation of the view up to which it is relied on for rollouts. It is well
/// above the time between two polls, and a rollback must bind within 5 s everywhere.
const MAX_ROLLOUT_AGE: time::Duration = time::Duration::from_millis(1_500);

/// Backend servers, retry budgets and latencies as the traffic threads see them.
///
/// Methods that take a `key` expect the names of a service and of its backend
/// server; they ignore a server that is no longer known.
#[derive(Debug)]
pub struct Fleet {
    pub(super) zone: ids::ZoneName,
    incarnation: ids::Incarnation,
    /// Whether the site starts new versions of backend servers by rollouts.
    rollouts: bool,
    pub(super) limits: fleet::RetryLimits,
    generation: u64,
    pub(super) members: usize,
    /// When a control VM last confirmed the view.
    confirmed: Option<time::Instant>,
    /// Ended first attempts of services with a rollout, not yet taken.
    samples: Vec<rollout::Sample>,
    next_token: ids::Ticket,
    pub(super) observations: fleet::observations::Observations,
    pub(super) suspects: fleet::suspects::Suspects,
    /// Attempts that were given up.
    pub(super) watch: containment::Watch,
    /// Those under which servers have ended and that count, not yet taken.
    pub(super) unseen_crashes: Vec<containment::GivenUp>,
    pub(super) shortage: fleet::shortage_meter::ShortageMeter,
    /// 0 to 1; differs between the VMs of a site.
    pub(super) spread: f64,
    pub(super) notices: fleet::notices::Notices,
    pub(super) delegates: fleet::delegates::Delegates,
    /// Typical time to write as many attempts as `fleet_groups` counts in a batch.
    pub(super) write_time: fleet::Quantile,
    pub(super) pools: sorted::SortedMap<ids::ServiceName, fleet::pool::Pool>,
    /// Services of attempts that the limits of connections kept from the best server.
    withheld: Vec<ids::ServiceName>,
    routes: sorted::SortedMap<String, fleet::route_latency::RouteLatency>,
    splits: sorted::SortedMap<String, fleet::split_state::SplitState>,
}

impl Fleet {
    /// Creates a fleet without servers for an entry VM of `zone`.
    pub fn new(
        zone: ids::ZoneName,
        incarnation: ids::Incarnation,
        limits: fleet::RetryLimits,
    ) -> Self {
        Self {
            zone,
            incarnation,
            rollouts: false,
            limits,
            generation: 0,
            members: 0,
            confirmed: None,
            samples: Vec::new(),
            next_token: 0,
            observations: fleet::observations::Observations::default(),
            suspects: fleet::suspects::Suspects::default(),
            watch: containment::Watch::default(),
            unseen_crashes: Vec::new(),
            shortage: fleet::shortage_meter::ShortageMeter::default(),
            spread: (hashing::StableHasher::new().number(incarnation).finish() >> 40) as f64
                / f64::from(1 << 24),
            notices: fleet::notices::Notices::default(),
            delegates: fleet::delegates::Delegates::default(),
            write_time: fleet::Quantile::new(0.5, time::Duration::ZERO),
            pools: sorted::SortedMap::new(),
            withheld: Vec::new(),
            routes: sorted::SortedMap::new(),
            splits: sorted::SortedMap::new(),
        }
    }

    /// Holds servers of a new version back until a rollout names it.
    #[must_use]
    pub fn with_rollouts(mut self, rollouts: bool) -> Self {
        self.rollouts = rollouts;
        self
    }

    /// Applies a view if it is newer than the last one, and returns whether it is.
    pub fn update(&mut self, view: &fleet::View, now: time::Instant) -> bool {
        if view.generation <= self.generation {
            return false;
        }
        self.generation = view.generation;
        self.observations.start(now);
        self.members = view.members;
        self.confirmed = view.confirmed;
        self.watch_view(view, now);
        self.notices.update(view);
        self.delegates.update(&view.delegates);
        self.suspects.merge(&view.contents, now);
        for (name, server) in view.servers.iter() {
            let zone_out = view.zones.zones.contains(&server.record.zone);
            let outlier = view.outliers.binary_search(name).is_ok();
            self.update_server(name, server, (zone_out, outlier), now);
        }
        for (service, pool) in self.pools.iter_mut() {
            let known = |name: &ids::ServerName| {
                let server = view.servers.get(name);
                server.is_some_and(|server| server.record.service == *service)
            };
            pool.servers.retain(|name, state| {
                let known = known(name);
                if !known {
                    state.withdraw();
                }
                known || state.running > 0
            });
            let limits = view.table.as_ref().and_then(|table| table.service(service));
            pool.connections = limits.map_or(0, |limits| limits.max_connections);
            pool.share_connections(view.members);
            if let Some(rollout) = view.rollouts.get(service) {
                pool.set_rollout(rollout, service, self.incarnation);
            }
        }
        true
    }

    fn update_server(
        &mut self,
        name: &ids::ServerName,
        server: &fleet::KnownServer,
        flags: (bool, bool),
        now: time::Instant,
    ) {
        let record = &server.record;
        let origin = (self.zone.as_str(), self.incarnation);
        let make = || fleet::pool::Pool::new(now);
        let pool = self.pools.get_or_insert_with(record.service.clone(), make);
        let restarted = |state: &fleet::server_state::ServerState| {
            state.born != record.born || state.address != record.address
        };
        if pool.servers.get(name).is_none_or(restarted) {
            let mut fresh = fleet::server_state::ServerState::new(server, origin, now);
            if !pool.servers.contains_key(name) {
                let held = self.rollouts.then(|| pool.hold(&record.version, now));
                fresh.held_until = held.flatten();
            }
            pool.servers.insert(name.clone(), fresh);
        }
        if let Some(state) = pool.servers.get_mut(name) {
            state.update(server, flags, now);
        }
    }

    /// Chooses the service for a request of a route; `None` for a query over many shards.
    pub fn choose_service(&mut self, route: &configuration::Route) -> Option<ids::ServiceName> {
        match &route.target {
            configuration::Target::Service(service) => Some(service.clone()),
            configuration::Target::Split(shares) => {
                let make = fleet::split_state::SplitState::default;
                let state = self.splits.get_or_insert_with(route.name.clone(), make);
                state.next(shares)
            }
            configuration::Target::Gather(_) => None,
        }
    }

    /// Picks the server for a first attempt like [`Self::pick`], of the target version of a
    /// rollout in progress as often as its share states.
    ///
    /// With a view that no control VM has confirmed lately, the rollout may be over, so the
    /// attempt goes to the old version.
    pub fn pick_first(
        &mut self,
        service: &str,
        excluded: &[ids::ServerName],
        entropy: u64,
        now: time::Instant,
    ) -> Option<fleet::PickedServer> {
        let age = |confirmed| now.saturating_duration_since(confirmed);
        let confirmed = self.confirmed.is_some_and(|at| age(at) <= MAX_ROLLOUT_AGE);
        let owes_target = confirmed && self.pools.get(service).is_some_and(|p| p.owes_target());
        let target = owes_target.then_some(fleet::versions::Versions::Target);
        let picked = target
            .and_then(|target| self.pick_among(service, Some(target), excluded, entropy, now));
        let picked = picked.or_else(|| self.pick_among(service, None, excluded, entropy, now))?;
        if let Some(pool) = self.pools.get_mut(service)
            && let Some(rollout) = &mut pool.rollout
        {
            let server = pool.servers.get(&picked.server);
            let is_target = server.is_some_and(|server| server.is_target);
            rollout.start(picked.token, &picked.server, is_target);
        }
        Some(picked)
    }

    /// Picks the best usable server that is not excluded, and counts a running attempt.
    ///
    /// While a rollout is in progress, the server is one of the old version, so that hedges and
    /// retries do not add to the share of the target version.
    ///
    /// Every attempt that was picked must be ended by [`Self::record_end`].
    pub fn pick(
        &mut self,
        service: &str,
        excluded: &[ids::ServerName],
        entropy: u64,
        now: time::Instant,
    ) -> Option<fleet::PickedServer> {
        self.pick_among(service, None, excluded, entropy, now)
    }

    fn pick_among(
        &mut self,
        service: &str,
        versions: Option<fleet::versions::Versions>,
        excluded: &[ids::ServerName],
        entropy: u64,
        now: time::Instant,
    ) -> Option<fleet::PickedServer> {
        let members = self.members;
        self.next_token += 1;
        let pool = self.pools.get_mut(service)?;
        pool.withheld = false;
        let versions = versions.unwrap_or_else(|| pool.versions(&self.notices, now));
        let choice = (&self.notices, versions);
        let picked = pool.pick(excluded, choice, members, entropy, now);
        let picked = picked.map(|(name, state)| fleet::PickedServer {
            token: self.next_token,
            server: name.clone(),
            born: state.born,
            address: state.address,
            local: state.local,
            kept: state.connections.kept(),
        });
        if pool.withheld {
            self.withheld.push(service.to_owned());
        }
        let picked = picked?;
        if let Some(state) = pool.servers.get_mut(&picked.server) {
            state.start();
        }
        pool.mark_used();
        Some(picked)
    }

    /// Whether all usable servers that are not excluded have just stated that they are slow or
    /// full, so that a hedge would only add to their load.
    pub fn is_congested(
        &self,
        service: &str,
        excluded: &[ids::ServerName],
        now: time::Instant,
    ) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.is_congested(excluded, &self.notices, now))
    }

    /// Servers to which connections are to be opened ahead of the first attempts, if none is
    /// kept; in an order that `entropy` decides.
    pub fn servers_to_open(&mut self, entropy: u64, now: time::Instant) -> Vec<net::SocketAddr> {
        let (notices, members) = (&self.notices, self.members);
        let pools = self.pools.values_mut();
        let opened = pools.filter_map(|pool| pool.server_to_open(notices, members, now));
        let mut servers: Vec<_> = opened.collect();
        if !servers.is_empty() {
            // Entry VMs that start together begin with different services.
            let first = usize::try_from(entropy >> 32).unwrap_or(0) % servers.len();
            servers.rotate_left(first);
        }
        servers
    }

    /// Whether servers of a service accept fewer connections than there are entry VMs.
    pub fn bounds_connections(&self, service: &str) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(fleet::pool::Pool::is_bounded)
    }

    /// Removes and returns the service of each attempt that avoided the best server, or waited,
    /// because of the limit of connections to it.
    pub fn take_withheld(&mut self) -> Vec<ids::ServiceName> {
        std::mem::take(&mut self.withheld)
    }

    /// Whether a service has a usable server.
    pub fn is_usable(&self, service: &str, now: time::Instant) -> bool {
        self.usable_at(service, now) == Some(now)
    }

    /// When a service has a usable server: `now` at the earliest, `None` if that is not
    /// known.
    pub fn usable_at(&self, service: &str, now: time::Instant) -> Option<time::Instant> {
        self.pools.get(service)?.usable_at(&self.notices, now)
    }

    /// Counts a request for a service in its retry budget.
    pub fn record_request(&mut self, service: &str, now: time::Instant) {
        let limits = self.limits;
        let pool = self
            .pools
            .get_or_insert_with(service.to_owned(), fleet::pool::Pool::default);
        pool.budget.record_request(&limits, now);
    }

    /// Spends one retry or hedge of a service's budget if the budget allows it.
    pub fn take_retry(&mut self, service: &str, now: time::Instant) -> bool {
        let (limits, members) = (self.limits, self.members);
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.budget.take(&limits, members, now))
    }

    /// Whether the budget of a service allows a retry or hedge, without spending it.
    pub fn allows_retry(&mut self, service: &str, now: time::Instant) -> bool {
        let (limits, members) = (self.limits, self.members);
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.budget.allows(&limits, members, now))
    }

    /// Records whether the sub-request to a service was answered.
    ///
    /// A failure does not count while it is known when the service has a usable server again:
    /// it says nothing about its load, and callers are refused until then anyway.
    pub fn record_sub_request(&mut self, service: &str, answered: bool, now: time::Instant) {
        let usable_at = self.usable_at(service, now);
        if !answered && usable_at.is_some_and(|at| at > now) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.failures.add(answered, now);
        }
    }

    /// Share of recent sub-requests to a service without a response, 0 to 1.
    pub fn failure_rate(&self, service: &str, now: time::Instant) -> f64 {
        let pool = self.pools.get(service);
        pool.map_or(0.0, |pool| pool.failures.rate(now))
    }

    /// Records that an attempt takes longer than usual.
    pub fn record_overdue(
        &mut self,
        key: (&str, &str),
        token: ids::Ticket,
        route: &configuration::Route,
        elapsed: time::Duration,
        now: time::Instant,
    ) {
        let typical = self.typical(route).as_secs_f64();
        if let Some(server) = self.server(key) {
            let ratio = elapsed.as_secs_f64() / typical;
            server.record_overdue(token, ratio, now);
            // The first attempt opens a connection, so its age says little about the server.
            if server.answered {
                self.observations.add(key.1, hub::Symptom::Overdue, now);
            }
        }
    }

    /// Records what the incarnation of a server that started at `born` stated in a response.
    ///
    /// Returns whether it leaves and had not said so before.
    pub fn record_condition(
        &mut self,
        key: (&str, &str),
        born: ids::BornMillis,
        condition: &backend::Condition,
        now: time::Instant,
    ) -> bool {
        let server = self.server(key);
        if server.as_ref().is_some_and(|server| server.born > born) {
            return false;
        }
        if let (Some(server), Some(load)) = (server, condition.load) {
            server.record_load(load, now);
            let full_queue = f64::from(load.queued) >= server.slots;
            if let Some(pace) = condition.pace {
                server.record_pace(load, pace, now);
            }
            self.shortage.add_load(full_queue, now);
        }
        let leaves = self.notices.record(key.1, born, condition, now);
        if leaves {
            self.watch.forget(key.1, born);
            let symptom = hub::Symptom::Leaving { born };
            self.observations.add(key.1, symptom, now);
        }
        leaves
    }

    /// Records the end of an attempt that [`Self::pick`] counted.
    pub fn record_end(
        &mut self,
        key: (&str, &str),
        token: ids::Ticket,
        route: &configuration::Route,
        result: fleet::AttemptResult,
        now: time::Instant,
    ) {
        let typical = self.typical(route);
        if let fleet::AttemptResult::Answered { elapsed } = result {
            let latency = self.latency(route);
            latency.typical.add(elapsed);
            latency.high.add(elapsed);
        }
        self.count_end(key.0, token, route, (result, typical));
        let spread = self.spread;
        if let Some(pool) = self.pools.get_mut(key.0)
            && pool.is_bounded()
            && result == fleet::AttemptResult::Full
        {
            if let Some(server) = pool.servers.get_mut(key.1) {
                server.record_full(token, spread, now);
            }
            return;
        }
        self.record_rejection(key.0, result, now);
        let server = self.server(key);
        let symptom = server.and_then(|server| server.record_end(token, result, typical, now));
        if let Some(symptom) = symptom {
            self.observations.add(key.1, symptom, now);
        }
    }

    fn count_end(
        &mut self,
        service: &str,
        token: ids::Ticket,
        route: &configuration::Route,
        (result, typical): (fleet::AttemptResult, time::Duration),
    ) {
        let pool = self.pools.get_mut(service);
        if let Some(rollout) = pool.and_then(|pool| pool.rollout.as_mut())
            && let Some((server, quality)) = rollout.end(token, result, typical)
        {
            self.samples.push(rollout::Sample {
                service: service.to_owned(),
                number: rollout.rollout.number(),
                route: route.name.clone(),
                server,
                quality,
            });
        }
    }

    /// Removes and returns the ended first attempts of services with a rollout.
    pub fn take_samples(&mut self) -> Vec<rollout::Sample> {
        std::mem::take(&mut self.samples)
    }

    /// Removes and returns the observations to report to the control VMs.
    pub fn take_observations(&mut self) -> Vec<hub::Observation> {
        self.observations.take()
    }

    /// Latency that 95 % of the attempts of a route do not exceed, as estimated.
    pub fn high_latency(&mut self, route: &configuration::Route) -> time::Duration {
        self.latency(route).high.value()
    }

    /// Backend servers that are not used until their next heartbeat.
    pub fn suspended(&self) -> Vec<ids::ServerName> {
        let servers = self.pools.values().flat_map(|pool| pool.servers.iter());
        let suspended = servers.filter(|(_, state)| state.suspended.is_some());
        suspended.map(|(name, _)| name.clone()).collect()
    }

    fn server(
        &mut self,
        (service, server): (&str, &str),
    ) -> Option<&mut fleet::server_state::ServerState> {
        self.pools.get_mut(service)?.servers.get_mut(server)
    }

    /// Typical latency of the attempts of a route, as estimated.
    pub fn typical(&mut self, route: &configuration::Route) -> time::Duration {
        self.latency(route).typical.value()
    }

    pub(super) fn latency(
        &mut self,
        route: &configuration::Route,
    ) -> &mut fleet::route_latency::RouteLatency {
        let objective = route.objective;
        let make = || fleet::route_latency::RouteLatency::new(objective);
        self.routes.get_or_insert_with(route.name.clone(), make)
    }
}

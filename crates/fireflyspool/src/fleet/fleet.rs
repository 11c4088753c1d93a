//! Backend servers by service.

use std::time;

use crate::{backend, configuration, fleet, hub, ids, sorted};

/// State of the traffic side about backend servers.
#[derive(Debug)]
pub struct Fleet {
    zone: ids::ZoneName,
    incarnation: ids::Incarnation,
    limits: fleet::Limits,
    generation: u64,
    members: usize,
    next_token: ids::Ticket,
    observations: fleet::observations::Observations,
    pools: sorted::SortedMap<ids::ServiceName, fleet::pool::Pool>,
    routes: sorted::SortedMap<String, fleet::route_latency::RouteLatency>,
    splits: sorted::SortedMap<String, fleet::split_state::SplitState>,
}

impl Fleet {
    /// A fleet without servers, for an entry VM of a zone.
    pub fn new(zone: ids::ZoneName, incarnation: ids::Incarnation, limits: fleet::Limits) -> Self {
        Self {
            zone,
            incarnation,
            limits,
            generation: 0,
            members: 0,
            next_token: 0,
            observations: fleet::observations::Observations::default(),
            pools: sorted::SortedMap::new(),
            routes: sorted::SortedMap::new(),
            splits: sorted::SortedMap::new(),
        }
    }

    /// Takes a view; returns whether it is newer than the former one.
    pub fn follow(&mut self, view: &fleet::View, now: time::Instant) -> bool {
        if view.generation <= self.generation {
            return false;
        }
        self.generation = view.generation;
        self.observations.start(now);
        self.members = view.members;
        for (name, server) in view.servers.iter() {
            let out = view.zones.zones.contains(&server.record.zone);
            let outlier = view.outliers.binary_search(name).is_ok();
            self.follow_server(name, server, (out, outlier), now);
        }
        for (service, pool) in self.pools.iter_mut() {
            let known = |name: &ids::ServerName| {
                let server = view.servers.get(name);
                server.is_some_and(|server| server.record.service == *service)
            };
            pool.targets
                .retain(|name, target| known(name) || target.running > 0);
            let limits = view.table.as_ref().and_then(|table| table.service(service));
            pool.connections = limits.map_or(0, |limits| limits.connections);
        }
        true
    }

    fn follow_server(
        &mut self,
        name: &ids::ServerName,
        server: &fleet::KnownServer,
        flags: (bool, bool),
        now: time::Instant,
    ) {
        let record = &server.record;
        let place = (self.zone.as_str(), self.incarnation);
        let pool = self
            .pools
            .get_or_insert_with(record.service.clone(), fleet::pool::Pool::default);
        let reborn = |target: &fleet::target::Target| {
            target.born != record.born || target.address != record.address
        };
        if pool.targets.get(name).is_none_or(reborn) {
            let fresh = fleet::target::Target::new(server, place, now);
            pool.targets.insert(name.clone(), fresh);
        }
        if let Some(target) = pool.targets.get_mut(name) {
            target.follow(server, flags, now);
        }
    }

    /// Service for the next request of a route with a single target.
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

    /// The best usable server that is not excluded; counts a running attempt there.
    pub fn pick(
        &mut self,
        service: &str,
        excluded: &[ids::ServerName],
        entropy: u64,
        now: time::Instant,
    ) -> Option<fleet::Picked> {
        let members = self.members;
        self.next_token += 1;
        let pool = self.pools.get_mut(service)?;
        let (name, target) = pool.pick(excluded, members, entropy, now)?;
        let picked = fleet::Picked {
            token: self.next_token,
            server: name.clone(),
            address: target.address,
            local: target.local,
        };
        if let Some(target) = pool.targets.get_mut(&picked.server) {
            target.start();
        }
        Some(picked)
    }

    /// Whether a service has a usable server.
    pub fn is_usable(&self, service: &str, now: time::Instant) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.is_usable(now))
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, service: &str, now: time::Instant) {
        let limits = self.limits;
        let pool = self
            .pools
            .get_or_insert_with(service.to_owned(), fleet::pool::Pool::default);
        pool.budget.note_request(&limits, now);
    }

    /// Takes one repeat from the budget of a service, if it allows one.
    pub fn take_repeat(&mut self, service: &str, now: time::Instant) -> bool {
        let (limits, members) = (self.limits, self.members);
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.budget.take(&limits, members, now))
    }

    /// Whether the budget of a service allows a repeat.
    pub fn allows_repeat(&mut self, service: &str, now: time::Instant) -> bool {
        let (limits, members) = (self.limits, self.members);
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.budget.allows(&limits, members, now))
    }

    /// Notes whether a service had its part in an answer.
    pub fn note_part(&mut self, service: &str, filled: bool, now: time::Instant) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.losses.add(filled, now);
        }
    }

    /// Share of recent requests that a service had no part in, 0 to 1.
    pub fn loss_rate(&self, service: &str, now: time::Instant) -> f64 {
        let pool = self.pools.get(service);
        pool.map_or(0.0, |pool| pool.losses.rate(now))
    }

    /// Notes that an attempt takes longer than usual.
    pub fn note_overdue(
        &mut self,
        place: (&str, &str),
        token: ids::Ticket,
        route: &configuration::Route,
        elapsed: time::Duration,
        now: time::Instant,
    ) {
        let typical = self.typical(route).as_secs_f64();
        if let Some(target) = self.target(place) {
            let factor = elapsed.as_secs_f64() / typical;
            target.note_overdue(token, factor, now);
            self.observations.add(place.1, hub::Symptom::Overdue, now);
        }
    }

    /// Takes the load that a server reported with an answer.
    pub fn note_load(&mut self, place: (&str, &str), load: backend::Load, now: time::Instant) {
        if let Some(target) = self.target(place) {
            target.note_load(load, now);
        }
    }

    /// Notes the end of an attempt that [`Self::pick`] counted.
    pub fn note_end(
        &mut self,
        place: (&str, &str),
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
        let target = self.target(place);
        let symptom = target.and_then(|target| target.end(token, result, typical, now));
        if let Some(symptom) = symptom {
            self.observations.add(place.1, symptom, now);
        }
    }

    /// What attempts showed since the last call.
    pub fn take_observations(&mut self) -> Vec<hub::Observation> {
        self.observations.take()
    }

    /// Latency that most attempts of a route do not exceed.
    pub fn high_latency(&mut self, route: &configuration::Route) -> time::Duration {
        self.latency(route).high.value()
    }

    /// Backend servers that are not used until they are heard again.
    pub fn suspended(&self) -> Vec<ids::ServerName> {
        let targets = self.pools.values().flat_map(|pool| pool.targets.iter());
        let suspended = targets.filter(|(_, target)| target.suspended.is_some());
        suspended.map(|(name, _)| name.clone()).collect()
    }

    /// The server of a service.
    fn target(&mut self, (service, server): (&str, &str)) -> Option<&mut fleet::target::Target> {
        self.pools.get_mut(service)?.targets.get_mut(server)
    }

    fn typical(&mut self, route: &configuration::Route) -> time::Duration {
        self.latency(route).typical.value()
    }

    fn latency(&mut self, route: &configuration::Route) -> &mut fleet::route_latency::RouteLatency {
        let objective = route.objective;
        let make = || fleet::route_latency::RouteLatency::new(objective);
        self.routes.get_or_insert_with(route.name.clone(), make)
    }
}

//! Backend servers that send heartbeats, drain and are replaced by cold ones.

use std::{sync, time};

use tokio::sync::Mutex;

use super::{context::Context, random::Random, relay::Relay};
use crate::platform_site::StandInServer;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Longest time until no entry VM uses a draining server; `DrainMs` of the users'
/// sites.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Slow-start time of a new process.
const WARM_UP: time::Duration = time::Duration::from_millis(1_200);

/// Most requests that a server may get during slow start, about a second.
const COLD_REQUEST_LIMIT: usize = 5;

/// Backend server, the relay in front of it and the processes it replaced.
pub(crate) struct Backend {
    service: String,
    zone: &'static str,
    number: usize,
    pub(crate) relay: Relay,
    server: StandInServer,
    replaced: Vec<StandInServer>,
}

/// Backend server that its heartbeat task and the faults share.
pub(crate) type SharedBackend = sync::Arc<Mutex<Backend>>;

impl Backend {
    pub(crate) async fn start(service: &str, zone: &'static str, number: usize) -> Self {
        let mut server = StandInServer::start(service, number, zone, true).await;
        let relay = Relay::start(server.address).await;
        server.address = relay.address();
        Self {
            service: service.to_owned(),
            zone,
            number,
            relay,
            server,
            replaced: Vec::new(),
        }
    }

    pub(crate) fn name(&self) -> String {
        format!("{}-{} of zone {}", self.service, self.number, self.zone)
    }

    pub(crate) fn zone(&self) -> &'static str {
        self.zone
    }

    pub(crate) fn last_start(&self) -> Option<time::Instant> {
        self.server.starts().last().copied()
    }

    /// Ids of the requests that the current and replaced processes ran, with counts.
    pub(crate) fn executions(&self) -> Vec<(String, usize)> {
        let all = self.replaced.iter().chain([&self.server]);
        all.flat_map(StandInServer::executions).collect()
    }

    /// Has the server refuse all requests for a while, and state for how long.
    pub(crate) async fn pause(&self, context: &Context, pause: time::Duration) {
        context
            .checker
            .log(format!("{} wants a pause of {pause:?}", self.name()));
        self.server.notices().pause(pause);
        tokio::time::sleep(pause).await;
        for (entry, since, late) in self.server.notices().offenders() {
            let line = format!("sent {late} requests to {} during its pause", self.name());
            match context.entry_of(&entry) {
                Some(entry) => context.checker.record_suspicion(entry, since, line),
                None => context.checker.record_violation(format!("{entry} {line}")),
            }
        }
    }

    /// Drains the server and replaces it by a new process that starts cold.
    pub(crate) async fn replace(&mut self, context: &Context, random: &mut Random) {
        let http = Context::client();
        let mut acknowledged = false;
        for _ in 0..10 {
            let control = context.any_control(random);
            if self
                .server
                .send_heartbeat_once(&http, control, "draining", 0)
                .await
            {
                acknowledged = true;
                break;
            }
        }
        if !acknowledged {
            context
                .checker
                .log(format!("draining of {} was not acknowledged", self.name()));
            return;
        }
        let since = time::Instant::now();
        self.server.notices().leave();
        context.checker.log(format!("{} drains", self.name()));
        let end = since + DRAIN_LIMIT + random.millis(500, 1_500);
        while time::Instant::now() < end {
            // Heartbeats go on, so that a missing heartbeat is not why requests stop.
            let control = context.any_control(random);
            self.server
                .send_heartbeat_once(&http, control, "draining", 0)
                .await;
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
        if self
            .last_start()
            .is_some_and(|last| last > since + DRAIN_LIMIT)
        {
            let line = format!("{} ran a request after it had drained", self.name());
            context.checker.record_violation(line);
        }
        self.number += 10;
        let mut fresh = StandInServer::start(&self.service, self.number, self.zone, true).await;
        self.relay = Relay::start(fresh.address).await;
        fresh.address = self.relay.address();
        self.replaced
            .push(std::mem::replace(&mut self.server, fresh));
        let started = time::Instant::now();
        context.checker.log(format!("{} starts cold", self.name()));
        while started.elapsed() < WARM_UP {
            let left = WARM_UP.saturating_sub(started.elapsed());
            let control = context.any_control(random);
            // A lost heartbeat is made up for by the next one.
            self.server
                .send_heartbeat_once(&http, control, "ready", left.as_millis())
                .await;
            tokio::time::sleep(HEARTBEAT_INTERVAL / 2).await;
        }
        let starts = self.server.starts().into_iter();
        let cold = starts.filter(|start| *start < started + WARM_UP).count();
        if cold > COLD_REQUEST_LIMIT {
            let line = format!("{} got {cold} requests during slow start", self.name());
            context.checker.record_violation(line);
        }
    }
}

/// Sends heartbeats until the run is stopped.
pub(crate) async fn send_heartbeats(
    context: sync::Arc<Context>,
    backend: SharedBackend,
    mut random: Random,
) {
    let http = Context::client();
    while !context.is_stopped() {
        let control = context.any_control(&mut random);
        // A lost heartbeat is made up for by the next one.
        backend
            .lock()
            .await
            .server
            .send_heartbeat_once(&http, control, "ready", 0)
            .await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

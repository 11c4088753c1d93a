//! Backend servers that report, leave and come back cold.

use std::{sync, time};

use tokio::sync::Mutex;

use super::{context::Context, random::Random, relay::Relay};
use crate::platform_site::Searcher;

/// Time between heartbeats.
const BEAT: time::Duration = time::Duration::from_millis(200);

/// Time in which a leaving server is out of use everywhere; `DrainMs` of the
/// users' sites.
const DRAIN: time::Duration = time::Duration::from_secs(3);

/// Time for which a new process is cold.
const COLD: time::Duration = time::Duration::from_millis(1_200);

/// Requests that a cold server may get within a second.
const COLD_LIMIT: usize = 5;

/// One place for a backend server, with the relay before it.
pub(crate) struct Backend {
    service: String,
    zone: &'static str,
    number: usize,
    pub(crate) relay: Relay,
    searcher: Searcher,
    former: Vec<Searcher>,
}

/// Backend server that its own task and the fault task share.
pub(crate) type SharedBackend = sync::Arc<Mutex<Backend>>;

impl Backend {
    pub(crate) async fn start(service: &str, zone: &'static str, number: usize) -> Self {
        let mut searcher = Searcher::start(service, number, zone, true).await;
        let relay = Relay::start(searcher.address).await;
        searcher.address = relay.address();
        Self {
            service: service.to_owned(),
            zone,
            number,
            relay,
            searcher,
            former: Vec::new(),
        }
    }

    pub(crate) fn name(&self) -> String {
        format!("{}-{} of zone {}", self.service, self.number, self.zone)
    }

    pub(crate) fn zone(&self) -> &'static str {
        self.zone
    }

    pub(crate) fn last_start(&self) -> Option<time::Instant> {
        self.searcher.starts().last().copied()
    }

    /// Requests that all processes of this place ran, each with how often.
    pub(crate) fn ran(&self) -> Vec<(String, usize)> {
        let all = self.former.iter().chain([&self.searcher]);
        all.flat_map(Searcher::ran).collect()
    }

    /// Leaves, and comes back as another process that is cold for a while.
    pub(crate) async fn replace(&mut self, context: &Context, random: &mut Random) {
        let http = Context::client();
        let mut acknowledged = false;
        for _ in 0..10 {
            let control = context.any_control(random);
            if self.searcher.beat_once(&http, control, "draining", 0).await {
                acknowledged = true;
                break;
            }
        }
        if !acknowledged {
            context
                .checker
                .log(format!("{} leaves, not acknowledged", self.name()));
            return;
        }
        let since = time::Instant::now();
        context.checker.log(format!("{} leaves", self.name()));
        let end = since + DRAIN + random.millis(500, 1_500);
        while time::Instant::now() < end {
            // It reports on while it leaves, so silence alone does not spare it.
            let control = context.any_control(random);
            self.searcher.beat_once(&http, control, "draining", 0).await;
            tokio::time::sleep(BEAT).await;
        }
        if self.last_start().is_some_and(|last| last > since + DRAIN) {
            let line = format!("{} ran a request after it had left", self.name());
            context.checker.violation(line);
        }
        self.number += 10;
        let mut fresh = Searcher::start(&self.service, self.number, self.zone, true).await;
        self.relay = Relay::start(fresh.address).await;
        fresh.address = self.relay.address();
        self.former
            .push(std::mem::replace(&mut self.searcher, fresh));
        let back = time::Instant::now();
        context.checker.log(format!("{} starts cold", self.name()));
        while back.elapsed() < COLD {
            let left = COLD.saturating_sub(back.elapsed());
            let control = context.any_control(random);
            // A heartbeat that is lost is followed by another one.
            self.searcher
                .beat_once(&http, control, "ready", left.as_millis())
                .await;
            tokio::time::sleep(BEAT / 2).await;
        }
        let starts = self.searcher.starts().into_iter();
        let cold = starts.filter(|start| *start < back + COLD).count();
        if cold > COLD_LIMIT {
            let line = format!("{} got {cold} requests while it was cold", self.name());
            context.checker.violation(line);
        }
    }
}

/// Sends heartbeats until the run is stopped.
pub(crate) async fn report(
    context: sync::Arc<Context>,
    backend: SharedBackend,
    mut random: Random,
) {
    let http = Context::client();
    while !context.is_stopped() {
        let control = context.any_control(&mut random);
        // A heartbeat that is lost is followed by another one.
        backend
            .lock()
            .await
            .searcher
            .beat_once(&http, control, "ready", 0)
            .await;
        tokio::time::sleep(BEAT).await;
    }
}

//! Recording of the end of an attempt.

use std::{
    sync::{self, atomic},
    time,
};

use crate::{backend, configuration, containment, fleet, forward, node, telemetry};

/// Records the end of an attempt in the fleet, as abandoned if it is dropped first.
///
/// The server of an attempt whose end nobody saw is watched, unless a server has responded to
/// the request.
pub(super) struct AttemptGuard {
    forwarding: sync::Arc<node::Forwarding>,
    route: sync::Arc<configuration::Route>,
    message: sync::Arc<node::Message>,
    send: forward::Send,
    started: time::Instant,
    /// Whether the attempt may have been written.
    begun: bool,
    ended: bool,
    /// Whether a server has responded to the request.
    responded: sync::Arc<atomic::AtomicBool>,
}

impl AttemptGuard {
    /// Starts measuring the time of an attempt.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        route: sync::Arc<configuration::Route>,
        message: sync::Arc<node::Message>,
        send: forward::Send,
        responded: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self {
            forwarding,
            route,
            message,
            send,
            started: time::Instant::now(),
            begun: false,
            ended: false,
            responded,
        }
    }

    /// Starts measuring anew, because the attempt is written only now.
    pub(super) fn begin(&mut self) {
        self.started = time::Instant::now();
        self.begun = true;
    }

    /// Records the end and what the backend server stated about itself.
    pub(super) fn end(mut self, end: &forward::AttemptEnd, condition: &backend::Condition) {
        self.ended = true;
        let elapsed = self.started.elapsed();
        let result = match end {
            forward::AttemptEnd::Answered(response) if response.status < 500 => {
                fleet::AttemptResult::Answered { elapsed }
            }
            forward::AttemptEnd::Answered(_)
            | forward::AttemptEnd::Broken
            | forward::AttemptEnd::Crashed => fleet::AttemptResult::Failed,
            forward::AttemptEnd::Rejected => fleet::AttemptResult::Rejected,
            forward::AttemptEnd::Full => fleet::AttemptResult::Full,
            forward::AttemptEnd::WrongServer | forward::AttemptEnd::Unreachable => {
                fleet::AttemptResult::Unreachable
            }
            forward::AttemptEnd::TimedOut => fleet::AttemptResult::Abandoned { elapsed },
        };
        self.record(result, condition);
        self.learn(end);
        let failed = matches!(
            result,
            fleet::AttemptResult::Failed | fleet::AttemptResult::Unreachable
        );
        if failed {
            self.forwarding.publish_suspended(&self.forwarding.fleet());
        }
        if result == fleet::AttemptResult::Full {
            let metrics = &self.forwarding.metrics;
            telemetry::Metrics::count(&metrics.connections_refused, &self.send.service);
        }
        let refused = matches!(
            result,
            fleet::AttemptResult::Rejected | fleet::AttemptResult::Full
        );
        if failed || refused {
            slog::info!(self.forwarding.process.logger, "attempt failed";
                "request" => &self.message.id,
                "server" => &self.send.server, "service" => &self.send.service,
                "result" => ?result, "end" => end.label(),
                "content" => self.message.fingerprint(), "elapsed_us" => node::forwarding::micros(elapsed));
        }
    }

    /// Uses what the end shows about attempts at the same server that were given up.
    fn learn(&self, end: &forward::AttemptEnd) {
        let (server, born) = (self.send.server.as_str(), self.send.born);
        let now = time::Instant::now();
        match end {
            forward::AttemptEnd::Answered(_) => {
                self.responded.store(true, atomic::Ordering::Relaxed);
                self.forwarding.fleet().record_alive(server, born, now);
            }
            forward::AttemptEnd::Crashed => {
                let mut fleet = self.forwarding.fleet();
                fleet.record_crashed(server, born, now);
                self.forwarding.report_observations(&mut fleet);
            }
            forward::AttemptEnd::Unreachable | forward::AttemptEnd::Broken => {
                if self.forwarding.fleet().hurry_check(server, now) {
                    self.forwarding.watch_changed.notify_one();
                }
            }
            forward::AttemptEnd::TimedOut => self.watch(now),
            forward::AttemptEnd::Rejected
            | forward::AttemptEnd::Full
            | forward::AttemptEnd::WrongServer => {}
        }
    }

    /// Watches the server until it has outlived the attempt.
    fn watch(&self, now: time::Instant) {
        if !self.begun || self.responded.load(atomic::Ordering::Relaxed) {
            return;
        }
        let send = &self.send;
        let attempt = containment::GivenUp {
            request: self.message.id.clone(),
            content: self.message.fingerprint(),
            service: send.service.clone(),
            server: send.server.clone(),
            born: send.born,
            address: send.address,
            kept: send.kept,
            probe: send.probe,
            until: send.deadline,
        };
        let mut fleet = self.forwarding.fleet();
        let is_first = fleet.watch(attempt, now);
        self.forwarding.report_observations(&mut fleet);
        drop(fleet);
        if is_first {
            self.forwarding.watch_changed.notify_one();
        }
    }

    fn record(&self, result: fleet::AttemptResult, condition: &backend::Condition) {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        let key = (self.send.service.as_str(), self.send.server.as_str());
        fleet.record_end(key, self.send.token, &self.route, result, now);
        let leaves = fleet.record_condition(key, self.send.born, condition, now);
        self.forwarding.report_observations(&mut fleet);
        drop(fleet);
        let logger = &self.forwarding.process.logger;
        if leaves {
            slog::info!(logger, "backend server stated that it leaves";
                "request" => &self.message.id, "server" => &self.send.server,
                "service" => &self.send.service, "born" => self.send.born);
        }
        if let Some(pause) = condition.pause {
            slog::info!(logger, "backend server asked for a pause";
                "request" => &self.message.id, "server" => &self.send.server,
                "service" => &self.send.service, "born" => self.send.born,
                "pause_ms" => u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.started.elapsed();
            let result = fleet::AttemptResult::Abandoned { elapsed };
            self.record(result, &backend::Condition::default());
            self.watch(time::Instant::now());
        }
    }
}

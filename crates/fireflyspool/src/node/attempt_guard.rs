//! Recording of the end of an attempt.

use std::{sync, time};

use crate::{backend, configuration, fleet, forward, node, telemetry};

/// Records the end of an attempt in the fleet, as abandoned if it is dropped first.
pub(super) struct AttemptGuard {
    forwarding: sync::Arc<node::Forwarding>,
    route: sync::Arc<configuration::Route>,
    message: sync::Arc<node::Message>,
    send: forward::Send,
    started: time::Instant,
    ended: bool,
}

impl AttemptGuard {
    /// Starts measuring the time of an attempt.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        route: sync::Arc<configuration::Route>,
        message: sync::Arc<node::Message>,
        send: forward::Send,
    ) -> Self {
        Self {
            forwarding,
            route,
            message,
            send,
            started: time::Instant::now(),
            ended: false,
        }
    }

    /// Starts measuring anew, because the attempt is written only now.
    pub(super) fn begin(&mut self) {
        self.started = time::Instant::now();
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
        }
    }
}

//! Recording of the end of an attempt.

use std::{sync, time};

use crate::{backend, configuration, fleet, forward, node};

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

    /// Records the end and the load that the backend server reported.
    pub(super) fn end(mut self, end: &forward::AttemptEnd, load: Option<backend::Load>) {
        self.ended = true;
        let elapsed = self.started.elapsed();
        let result = match end {
            forward::AttemptEnd::Answered(response) if response.status < 500 => {
                fleet::AttemptResult::Answered { elapsed }
            }
            forward::AttemptEnd::Answered(_) | forward::AttemptEnd::Broken => {
                fleet::AttemptResult::Failed
            }
            forward::AttemptEnd::Rejected => fleet::AttemptResult::Rejected,
            forward::AttemptEnd::WrongServer | forward::AttemptEnd::Unreachable => {
                fleet::AttemptResult::Unreachable
            }
            forward::AttemptEnd::TimedOut => fleet::AttemptResult::Abandoned { elapsed },
        };
        self.record(result, load);
        let failed = matches!(
            result,
            fleet::AttemptResult::Failed | fleet::AttemptResult::Unreachable
        );
        if failed {
            self.forwarding.publish_suspended(&self.forwarding.fleet());
        }
        if failed || result == fleet::AttemptResult::Rejected {
            slog::info!(self.forwarding.process.logger, "attempt failed";
                "request" => &self.message.id,
                "server" => &self.send.server, "service" => &self.send.service,
                "result" => ?result, "elapsed_us" => node::forwarding::micros(elapsed));
        }
    }

    fn record(&self, result: fleet::AttemptResult, load: Option<backend::Load>) {
        let mut fleet = self.forwarding.fleet();
        let now = time::Instant::now();
        let key = (self.send.service.as_str(), self.send.server.as_str());
        fleet.record_end(key, self.send.token, &self.route, result, now);
        if let Some(load) = load {
            fleet.record_load(key, load, now);
        }
        self.forwarding.report_observations(&mut fleet);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.started.elapsed();
            self.record(fleet::AttemptResult::Abandoned { elapsed }, None);
        }
    }
}

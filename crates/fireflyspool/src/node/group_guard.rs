//! Recording of what came of a delegated group.

use std::{net, sync, time};

use crate::{configuration, fleet, forward, node, rim};

/// Records the end of a delegated group in the fleet, without a result if it is dropped first.
pub(super) struct GroupGuard {
    forwarding: sync::Arc<node::Forwarding>,
    route: sync::Arc<configuration::Route>,
    delegate: net::SocketAddr,
    started: time::Instant,
    answered: bool,
    result: Option<fleet::AttemptResult>,
}

impl GroupGuard {
    /// Starts measuring the time of a group.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        route: sync::Arc<configuration::Route>,
        delegate: net::SocketAddr,
    ) -> Self {
        Self {
            forwarding,
            route,
            delegate,
            started: time::Instant::now(),
            answered: false,
            result: None,
        }
    }

    /// Starts measuring anew, because the group is written only now.
    pub(super) fn begin(&mut self) {
        self.started = time::Instant::now();
    }

    /// Records an answer to the group of a request, or its end.
    pub(super) fn record(&mut self, progress: &rim::GroupProgress, request: &str) {
        let elapsed = self.started.elapsed();
        let (result, label) = match progress {
            rim::GroupProgress::Answered(..)
            | rim::GroupProgress::Ended(_, forward::GroupEnd::Answered) => {
                self.result = Some(fleet::AttemptResult::Answered { elapsed });
                if !self.answered {
                    let mut fleet = self.forwarding.fleet();
                    fleet.record_group_latency(&self.route, elapsed);
                }
                self.answered = true;
                return;
            }
            rim::GroupProgress::Ended(_, end) => match end {
                forward::GroupEnd::Answered => return,
                forward::GroupEnd::Refused => (fleet::AttemptResult::Rejected, "refused"),
                forward::GroupEnd::Unreachable => {
                    (fleet::AttemptResult::Unreachable, "unreachable")
                }
                forward::GroupEnd::Broken => (fleet::AttemptResult::Failed, "broken"),
                forward::GroupEnd::TimedOut => {
                    (fleet::AttemptResult::Abandoned { elapsed }, "timed out")
                }
            },
        };
        self.result = Some(result);
        slog::info!(self.forwarding.process.logger, "group failed"; "request" => request,
            "delegate" => %self.delegate, "result" => label,
            "elapsed_us" => node::forwarding::micros(elapsed));
    }
}

impl Drop for GroupGuard {
    fn drop(&mut self) {
        let mut fleet = self.forwarding.fleet();
        fleet.record_group_end(self.delegate, self.result, time::Instant::now());
    }
}

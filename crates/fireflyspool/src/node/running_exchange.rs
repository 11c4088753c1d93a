//! Exchange of a request that may be given up at any moment.

use std::{sync, time};

use crate::{forward, node};

/// Exchange that reports the crashes it has seen when it is dropped, because its caller may
/// leave before it has done so.
pub(super) struct RunningExchange {
    forwarding: sync::Arc<node::Forwarding>,
    pub(super) exchange: forward::Exchange,
}

impl RunningExchange {
    /// Takes over an exchange that has started.
    pub(super) fn new(
        forwarding: sync::Arc<node::Forwarding>,
        exchange: forward::Exchange,
    ) -> Self {
        Self {
            forwarding,
            exchange,
        }
    }
}

impl Drop for RunningExchange {
    fn drop(&mut self) {
        if self.exchange.has_unreported_crashes() {
            let mut fleet = self.forwarding.fleet();
            let now = time::Instant::now();
            self.exchange.report_crashes(&mut fleet, now);
            self.forwarding.report_observations(&mut fleet);
        }
    }
}

//! Metrics of the process.

use std::{sync::atomic, time};

use tokio::sync::oneshot;

use crate::{dispatch, traffic, view};

impl traffic::EntryNode {
    /// Number of sub-requests that wait or run at backend servers of this owner.
    pub async fn attempts(&self) -> usize {
        let sums = self.gauges().await;
        sums.waiting + sums.running
    }

    /// Metrics in the OpenMetrics text format.
    pub async fn metrics(&self) -> String {
        self.update_gauges().await;
        self.shared.metrics.encode()
    }

    pub(super) async fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        let view = self.shared.view.load_full();
        let now = time::Instant::now();
        let owned = |record: &&view::ServerRecord| record.owner == Some(self.shared.node);
        metrics.set_state("revision", view.catalog.revision as i64);
        metrics.set_state("lease_valid", i64::from(view.may_act(now)));
        metrics.set_state("entry_members", view.members.len() as i64);
        metrics.set_state("backend_servers", view.servers.len() as i64);
        metrics.set_state(
            "owned_servers",
            view.servers.values().filter(owned).count() as i64,
        );
        metrics.set_state("suspects", view.suspects.len() as i64);
        metrics.set_state("running_requests", self.running() as i64);
        let dropped = self.shared.dropped_lines.load(atomic::Ordering::Relaxed);
        metrics
            .dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        {
            let mut budgets = self.shared.budgets();
            let record = budgets.peak.record(now);
            metrics.set_state("minute_subrequests", record.total() as i64);
            metrics.set_state("month_peak_minute", record.month_peak() as i64);
        }
        let sums = self.gauges().await;
        metrics.set_state("waiting_subrequests", sums.waiting as i64);
        metrics.set_state("running_attempts", sums.running as i64);
        metrics.set_state("permits", sums.permits as i64);
        metrics.set_state("backend_connections", sums.connections as i64);
        metrics.set_state("warming_servers", sums.warming as i64);
        metrics.set_state("ejected_servers", sums.ejected as i64);
    }

    /// Sums the gauges of all dispatchers.
    pub(super) async fn gauges(&self) -> dispatch::Gauges {
        let mut sums = dispatch::Gauges::default();
        for service in self.services.all() {
            let (sender, receiver) = oneshot::channel();
            let asked = service.send(traffic::ServiceMessage::Gauges(sender)).await;
            if asked.is_ok()
                && let Ok(gauges) = receiver.await
            {
                sums.waiting += gauges.waiting;
                sums.running += gauges.running;
                sums.permits += gauges.permits;
                sums.connections += gauges.connections;
                sums.warming += gauges.warming;
                sums.ejected += gauges.ejected;
            }
        }
        sums
    }
}

//! Prometheus metrics of one process.

use std::sync::atomic;

use prometheus_client::{
    encoding::text,
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::telemetry;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.078, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
];

type Counters = family::Family<telemetry::Label, counter::Counter>;
type Gauges = family::Family<telemetry::Label, gauge::Gauge<i64, atomic::AtomicI64>>;
type Latencies =
    family::Family<telemetry::Label, histogram::Histogram, fn() -> histogram::Histogram>;

/// Metrics of the process and the registry that exports them.
pub struct Metrics {
    registry: registry::Registry,
    /// Finished requests by outcome.
    pub outcomes: Counters,
    /// Decisions of admission about ranked requests, by kind and reason.
    pub admissions: Counters,
    /// Refused requests by reason.
    pub refusals: Counters,
    /// Seconds from receipt to outcome, by kind of request.
    pub latency: Latencies,
    /// Sub-requests sent to owners by cause: first, hedge or retry.
    pub subrequests: Counters,
    /// Attempts sent to backend servers, by how they ended.
    pub attempts: Counters,
    /// Connections that backend servers refused because they had as many as they accept, by
    /// service.
    pub connections_refused: Counters,
    /// Attempts that avoided the best server, or waited, because of the limit of connections to
    /// it, by service.
    pub connections_withheld: Counters,
    /// Attempts that were given up and under which their backend server crashed, as far as they count, by
    /// service.
    pub unseen_crashes: Counters,
    /// State of this process by name: revision, lease, members, servers and others.
    pub state: Gauges,
    /// Log lines dropped because the queue was full.
    pub dropped_lines: gauge::Gauge<i64, atomic::AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = registry::Registry::with_prefix("fireflyspool");
        let outcomes = Counters::default();
        registry.register("requests", "Finished requests by outcome", outcomes.clone());
        let admissions = Counters::default();
        registry.register(
            "admissions",
            "Decisions of admission by kind and reason",
            admissions.clone(),
        );
        let refusals = Counters::default();
        registry.register("refusals", "Refused requests by reason", refusals.clone());
        let latency =
            Latencies::new_with_constructor(|| histogram::Histogram::new(LATENCY_BUCKETS_SECONDS));
        registry.register_with_unit(
            "request_duration",
            "Time from receipt to outcome by kind",
            registry::Unit::Seconds,
            latency.clone(),
        );
        let subrequests = Counters::default();
        registry.register("subrequests", "Sub-requests by cause", subrequests.clone());
        let attempts = Counters::default();
        registry.register(
            "attempts",
            "Attempts at backend servers by end",
            attempts.clone(),
        );
        let connections_refused = Counters::default();
        registry.register(
            "connections_refused",
            "Connections refused by backend servers at their limit, by service",
            connections_refused.clone(),
        );
        let connections_withheld = Counters::default();
        registry.register(
            "connections_withheld",
            "Attempts that avoided a server because of the limit of connections, by service",
            connections_withheld.clone(),
        );
        let unseen_crashes = Counters::default();
        registry.register(
            "unseen_crashes",
            "Attempts given up under which their server crashed, as far as they count, by service",
            unseen_crashes.clone(),
        );
        let state = Gauges::default();
        registry.register("state", "State of this process by name", state.clone());
        let dropped_lines = gauge::Gauge::default();
        registry.register(
            "dropped_log_lines",
            "Log lines dropped",
            dropped_lines.clone(),
        );
        Self {
            registry,
            outcomes,
            admissions,
            refusals,
            latency,
            subrequests,
            attempts,
            connections_refused,
            connections_withheld,
            unseen_crashes,
            state,
            dropped_lines,
        }
    }
}

impl Metrics {
    /// Increments the counter of `family` that is labelled `name`.
    pub fn count(family: &Counters, name: &str) {
        family
            .get_or_create(&telemetry::Label {
                name: name.to_owned(),
            })
            .inc();
    }

    /// Sets the gauge labelled `name` in the state family.
    pub fn set_state(&self, name: &str, value: i64) {
        self.state
            .get_or_create(&telemetry::Label {
                name: name.to_owned(),
            })
            .set(value);
    }

    /// Records the latency of one request of this kind.
    pub fn observe(&self, kind: &str, elapsed: std::time::Duration) {
        let label = telemetry::Label {
            name: kind.to_owned(),
        };
        self.latency
            .get_or_create(&label)
            .observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut buffer = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut buffer, &self.registry);
        buffer
    }
}

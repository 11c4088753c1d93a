//! Limits and faults that can be changed while a searcher runs.

use std::time;

use fireflyspool::backend;

use crate::duration_text;

/// Limits and faults of a searcher.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait for a slot; more are refused with 503.
    pub queue_limit: u32,
    /// Connections; more are closed at once.
    pub connections: u32,
    /// Time before a new connection is served.
    #[serde(with = "duration_text")]
    pub setup: time::Duration,
    /// Mean time to run one request.
    #[serde(with = "duration_text")]
    pub service_time: time::Duration,
    /// Relative spread of the time to run one request, from 0 to 1.
    pub spread: f64,
    /// One-way network delay added to every reply.
    #[serde(with = "duration_text")]
    pub delay: time::Duration,
    /// Share of requests that straggle, from 0 to 1.
    pub straggler_rate: f64,
    /// Factor on the time of a straggling request.
    pub straggler_factor: f64,
    /// Factor on the time of a request right after a cold start; it falls to 1 over `cold_time`.
    pub cold_factor: f64,
    /// Duration of a cold start; zero switches cold starts off.
    #[serde(with = "duration_text")]
    pub cold_time: time::Duration,
    /// Requests at once above which a cold searcher crashes.
    pub cold_limit: Option<u32>,
    /// Sheds all load and asks callers to stay away for this many milliseconds.
    pub shed_ms: Option<u64>,
    /// Load that is reported instead of the true one.
    pub false_load: Option<backend::Load>,
    /// Age that the reported load may reach.
    #[serde(with = "duration_text")]
    pub load_lag: time::Duration,
    /// Health that is reported instead of the true one.
    pub false_health: Option<bool>,
    /// Text that crashes the searcher when a request contains it.
    pub crash_marker: Option<String>,
    /// Time away after a crash.
    #[serde(with = "duration_text")]
    pub restart_time: time::Duration,
    /// Time in phase `starting` after a start.
    #[serde(with = "duration_text")]
    pub start_time: time::Duration,
    /// Least time in phase `leaving`, in which new work is still refused with 410.
    #[serde(with = "duration_text")]
    pub leave_time: time::Duration,
    /// Whether a running attempt stops when it is cancelled.
    pub cancellable: bool,
    /// Whether work stops at its deadline.
    pub keeps_deadline: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 2,
            queue_limit: 1_000,
            connections: 55,
            setup: time::Duration::from_millis(6),
            service_time: time::Duration::from_millis(20),
            spread: 0.5,
            delay: time::Duration::ZERO,
            straggler_rate: 0.0,
            straggler_factor: 10.0,
            cold_factor: 8.0,
            cold_time: time::Duration::ZERO,
            cold_limit: None,
            shed_ms: None,
            false_load: None,
            load_lag: time::Duration::ZERO,
            false_health: None,
            crash_marker: None,
            restart_time: time::Duration::from_secs(2),
            start_time: time::Duration::ZERO,
            leave_time: time::Duration::from_secs(2),
            cancellable: true,
            keeps_deadline: true,
        }
    }
}

impl Behaviour {
    /// Copy with the fields of a JSON object replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch names an unknown field or has a value of
    /// the wrong type.
    pub fn patched(&self, patch: &serde_json::Value) -> Result<Self, serde_json::Error> {
        let mut whole = serde_json::to_value(self)?;
        if let (Some(fields), Some(changes)) = (whole.as_object_mut(), patch.as_object()) {
            for (name, value) in changes {
                fields.insert(name.clone(), value.clone());
            }
        }
        serde_json::from_value(whole)
    }

    /// Time to run one request that starts now.
    ///
    /// `warmth` is 0 right after a cold start and 1 for a warm searcher.
    pub fn run_time(&self, warmth: f64, entropy: u64) -> time::Duration {
        let uniform = |bits: u64| (bits & 0xFFFF_FFFF) as f64 / 4_294_967_296.0;
        let mut factor = 1.0 + self.spread * (2.0 * uniform(entropy) - 1.0);
        if uniform(entropy >> 32) < self.straggler_rate {
            factor *= self.straggler_factor;
        }
        factor *= 1.0 + (self.cold_factor - 1.0) * (1.0 - warmth);
        self.service_time.mul_f64(factor.max(0.0))
    }
}

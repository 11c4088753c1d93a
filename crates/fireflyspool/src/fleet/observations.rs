//! Observations of backend servers to report to the control VMs.

use std::{mem, time};

use crate::hub;

/// Time after the first view in which failures are not reported.
///
/// A process that has just started opens all its connections, and servers reset
/// those over their limit; the connections of the former process count towards
/// that limit until they time out.
const STARTUP_GRACE: time::Duration = time::Duration::from_secs(5);

/// Observations that are not yet handed over for reporting.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// When the first view was applied.
    started: Option<time::Instant>,
    observations: Vec<hub::Observation>,
}

impl Observations {
    /// Records that a view was applied; only the first one counts.
    pub(super) fn start(&mut self, now: time::Instant) {
        self.started.get_or_insert(now);
    }

    /// Adds an observation, unless it is a failure shortly after the start.
    pub(super) fn add(&mut self, server: &str, symptom: hub::Symptom, now: time::Instant) {
        let uptime = |started| now.saturating_duration_since(started);
        let settled = self
            .started
            .is_some_and(|started| uptime(started) >= STARTUP_GRACE);
        if settled || symptom != hub::Symptom::Failed {
            self.observations.push((server.to_owned(), symptom));
        }
    }

    /// Removes and returns all observations.
    pub(super) fn take(&mut self) -> Vec<hub::Observation> {
        mem::take(&mut self.observations)
    }
}

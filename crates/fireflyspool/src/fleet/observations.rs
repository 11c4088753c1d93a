//! What attempts showed about backend servers.

use std::{mem, time};

use crate::hub;

/// Time after the first view in which failures are not reported: a process that
/// has just started opens all its connections, and servers reset those over their
/// limit, which counts those of the former process until they time out.
const SETTLING: time::Duration = time::Duration::from_secs(5);

/// Observations that the control VMs have not received.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// When the first view came.
    started: Option<time::Instant>,
    observations: Vec<hub::Observation>,
}

impl Observations {
    /// Notes that a view came.
    pub(super) fn start(&mut self, now: time::Instant) {
        self.started.get_or_insert(now);
    }

    /// Adds what an attempt showed, if it says something about its server.
    pub(super) fn add(&mut self, server: &str, symptom: hub::Symptom, now: time::Instant) {
        let age = |started| now.saturating_duration_since(started);
        let settled = self.started.is_some_and(|started| age(started) >= SETTLING);
        if settled || symptom != hub::Symptom::Failed {
            self.observations.push((server.to_owned(), symptom));
        }
    }

    /// Observations that were added since the last call.
    pub(super) fn take(&mut self) -> Vec<hub::Observation> {
        mem::take(&mut self.observations)
    }
}

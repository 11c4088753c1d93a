//! Replicated log that the hubs of a test share, reduced to departures.

#![allow(dead_code, reason = "each test binary uses a part of the module")]

use fireflyspool::{hub, ids, registry, state};

/// Commits each command at once while it has a leader.
pub(crate) struct DepartureLog {
    control: state::ControlState,
    pub(crate) has_leader: bool,
    /// Number of commands with departures.
    pub(crate) written: usize,
}

impl DepartureLog {
    pub(crate) fn new() -> Self {
        Self {
            control: state::ControlState::default(),
            has_leader: true,
            written: 0,
        }
    }

    /// Table of departures after all commands.
    pub(crate) fn table(&self) -> &state::DepartureTable {
        &self.control.departures
    }

    /// Commits a command; `None` if there is no leader or no room.
    pub(crate) fn commit(
        &mut self,
        departures: Vec<registry::Departure>,
        stamped: u64,
    ) -> Option<ids::Revision> {
        if !self.has_leader {
            return None;
        }
        self.written += usize::from(!departures.is_empty());
        let command = state::IdempotentCommand::RecordDepartures {
            departures,
            stamped,
        };
        match self.control.apply(&state::Entry::Idempotent(command)) {
            state::Applied::Idempotent(state::IdempotentOutcome::Recorded { revision }) => {
                Some(revision)
            }
            _ => None,
        }
    }

    /// Restores the state from a snapshot, as a control VM does after a start.
    pub(crate) fn restart(&mut self) {
        let snapshot = self.control.encode();
        self.control = state::ControlState::decode(&snapshot).expect("own snapshots are valid");
    }

    /// Has a hub recover from the log.
    pub(crate) fn recover(&mut self, hub: &mut hub::Hub, now: std::time::Instant) {
        let revision = self.commit(Vec::new(), 0);
        hub.record_ended(revision, now);
        hub.set_departures(self.table(), now);
    }
}

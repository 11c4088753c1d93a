//! Departures of backend servers: their way into the replicated log, and their acknowledgement.

use std::time;

use crate::{hub, ids, registry, state};

/// Most departures in one entry of the log.
const MAX_DEPARTURES_PER_ENTRY: usize = 512;

impl hub::Hub {
    /// Sets the departures that the applied log holds; an older table changes nothing.
    pub fn set_departures(&mut self, table: &state::DepartureTable, now: time::Instant) {
        let known = self.departures.revision();
        if table.revision() > known {
            for departure in table.since(known) {
                self.registry.merge_departure(departure, now);
            }
            self.departures = table.clone();
        }
        self.recovery = self.recovery.apply(self.departures.revision());
    }

    /// Handles the end of [`hub::Action::Record`].
    ///
    /// `revision` is that of the table after the departures were recorded; `None` if they were
    /// not, or if that is unknown.
    pub fn record_ended(&mut self, revision: Option<ids::Revision>, now: time::Instant) {
        let departures = self.recording.take().unwrap_or_default();
        let Some(revision) = revision else {
            self.record_due = now + self.config.retry_pause;
            return;
        };
        for pending in &mut self.pending_departures {
            pending.recorded |= departures.contains(&pending.departure);
        }
        self.recovery = self.recovery.answered(revision);
        self.recovery = self.recovery.apply(self.departures.revision());
    }

    /// Whether this hub holds every departure that was acknowledged before it started.
    pub fn has_recovered(&self) -> bool {
        self.recovery.is_complete()
    }

    pub(super) fn await_record(
        &mut self,
        ticket: ids::Ticket,
        departure: registry::Departure,
        now: time::Instant,
    ) {
        self.pending_departures
            .push(hub::pending_departure::PendingDeparture {
                ticket,
                // The reports of a server that goes on draining are in the log already.
                recorded: self.departures.contains(&departure),
                departure,
                position: self.registry.position(),
                deadline: now + self.config.ack_timeout,
            });
    }

    /// Sends departures that the log does not hold, one command at a time.
    pub(super) fn record_due(&mut self, now: time::Instant) {
        if self.recording.is_some() || now < self.record_due || !self.needs_record() {
            return;
        }
        let unrecorded = self.pending_departures.iter();
        let unrecorded = unrecorded.filter(|pending| !pending.recorded);
        let departures = unrecorded.map(|pending| pending.departure.clone());
        let departures: Vec<_> = departures.take(MAX_DEPARTURES_PER_ENTRY).collect();
        self.recording = Some(departures.clone());
        self.actions.push(hub::Action::Record { departures });
    }

    /// When [`Self::record_due`] has something to send; `None` if nothing waits.
    pub(super) fn next_record(&self) -> Option<time::Instant> {
        (self.recording.is_none() && self.needs_record()).then_some(self.record_due)
    }

    pub(super) fn acknowledge_due(&mut self, now: time::Instant) {
        let pending = std::mem::take(&mut self.pending_departures);
        for report in pending {
            let holders = self.group.iter().filter(|listener| {
                let peer = self.peers.get(*listener);
                **listener == self.own.rpc || peer.is_some_and(|peer| peer.acked >= report.position)
            });
            let accepted = report.recorded && holders.count() * 2 > self.group.len();
            if accepted || report.deadline <= now {
                let ticket = report.ticket;
                self.actions
                    .push(hub::Action::Acknowledge { ticket, accepted });
            } else {
                self.pending_departures.push(report);
            }
        }
    }

    fn needs_record(&self) -> bool {
        let mut pending = self.pending_departures.iter();
        self.recovery.is_asking() || pending.any(|pending| !pending.recorded)
    }
}

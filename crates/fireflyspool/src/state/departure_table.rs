//! Acknowledged departures of backend servers.
//!
//! A report that a server sent before it left may arrive after all control VMs have restarted.
//! The replicated log keeps each acknowledged departure for as long as such a report may be on
//! its way. Time is the latest one that a command states, so it goes on from where it was when
//! all control VMs restart, and a clock that is set back does not move it.

use std::time;

use crate::{ids, registry, sorted};

/// Time for which a departure is kept; far longer than a report is delayed.
const RETENTION: time::Duration = time::Duration::from_secs(600);

/// Most departures kept; more than a site has backend servers.
const MAX_DEPARTURES: usize = 8_192;

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    born: ids::BornMillis,
    phase: registry::Phase,
    /// Revision of the table that added it.
    revision: ids::Revision,
    /// Time of the command that added it, in milliseconds since the Unix epoch.
    stamped: u64,
}

/// Latest departure of each backend server that left within the retention time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DepartureTable {
    /// Number of commands applied.
    revision: ids::Revision,
    /// Latest time that a command stated, in milliseconds since the Unix epoch.
    clock: u64,
    records: sorted::SortedMap<ids::ServerName, Record>,
}

impl DepartureTable {
    /// Number of commands applied so far.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Whether the departure or a later one of the same server is recorded.
    pub fn contains(&self, departure: &registry::Departure) -> bool {
        let record = self.records.get(&departure.server);
        record
            .is_some_and(|record| (record.born, record.phase) >= (departure.born, departure.phase))
    }

    /// Departures that were recorded after a revision, ascending by server.
    pub fn since(&self, revision: ids::Revision) -> impl Iterator<Item = registry::Departure> {
        let newer = self
            .records
            .iter()
            .filter(move |(_, record)| record.revision > revision);
        newer.map(|(server, record)| registry::Departure {
            server: server.clone(),
            born: record.born,
            phase: record.phase,
        })
    }

    /// Records departures at a time in milliseconds since the Unix epoch.
    ///
    /// Returns the new revision, or `None` if there is no room for all of them; then none is
    /// recorded.
    pub(super) fn record(
        &mut self,
        departures: &[registry::Departure],
        stamped: u64,
    ) -> Option<ids::Revision> {
        self.clock = self.clock.max(stamped);
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        let clock = self.clock;
        self.records
            .retain(|_, record| clock.saturating_sub(record.stamped) < retention);
        self.revision += 1;
        let is_new =
            |departure: &&registry::Departure| !self.records.contains_key(&departure.server);
        let added = departures.iter().filter(is_new).count();
        if added > 0 && self.records.len() + added > MAX_DEPARTURES {
            return None;
        }
        for departure in departures {
            if !self.contains(departure) {
                let record = Record {
                    born: departure.born,
                    phase: departure.phase,
                    revision: self.revision,
                    stamped: self.clock,
                };
                self.records.insert(departure.server.clone(), record);
            }
        }
        Some(self.revision)
    }
}

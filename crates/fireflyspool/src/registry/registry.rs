//! Merged state of all backend servers.

use std::{collections, time};

use crate::registry::entry;
use crate::{ids, registry, sorted};

/// Changes kept in the log; a follower that is further behind gets all records.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Time since the latest report for which a server is kept, so that a delayed heartbeat
/// does not revive one that is gone.
const TOMBSTONE_LIFETIME: time::Duration = time::Duration::from_secs(600);

/// Departures kept of servers that never reported; further ones are not recorded.
const MAX_UNKNOWN_DEPARTURES: usize = 4_096;

/// Longest cold phase; a report may state any number.
const MAX_COLD: time::Duration = time::Duration::from_secs(24 * 3_600);

/// Added to the reported end of the cold phase to allow for message delays.
const COLD_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Latest state of each backend server, with a log of changes for followers.
pub struct Registry {
    entries: sorted::SortedMap<ids::ServerName, entry::Entry>,
    /// Names of the changed servers, oldest first.
    log: collections::VecDeque<ids::ServerName>,
    /// Position after the newest change.
    position: ids::ChangePosition,
    /// Time without a report after which a server is marked as silent.
    timeout: time::Duration,
}

impl Registry {
    /// An empty registry that marks servers as silent after `timeout` without a report.
    pub fn new(timeout: time::Duration) -> Self {
        Self {
            entries: sorted::SortedMap::new(),
            log: collections::VecDeque::new(),
            position: 0,
            timeout,
        }
    }

    /// Position after the newest change.
    pub fn position(&self) -> ids::ChangePosition {
        self.position
    }

    /// Merges a report that was sent at `reported_at`.
    pub fn merge(
        &mut self,
        report: registry::Report,
        reported_at: time::Instant,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        if let Some(entry) = self.entries.get_mut(&report.server) {
            if report.born < entry.report.born {
                return registry::MergeOutcome::Stale;
            }
            if report.born == entry.report.born && entry.report.phase == registry::Phase::Gone {
                // It claims no address; the record is kept for as long as reports may follow.
                entry.reported_at = entry.reported_at.max(reported_at);
                return registry::MergeOutcome::Stale;
            }
        }
        if !self.claim_address(&report) {
            return match report.phase {
                registry::Phase::Serving => registry::MergeOutcome::Stale,
                _ => self.mark_gone(&report.server, Some(report.born), now),
            };
        }
        let cold_until = match report.cold_left.is_zero() {
            true => reported_at,
            false => reported_at + report.cold_left.min(MAX_COLD) + COLD_MARGIN,
        };
        let incoming = entry::Entry {
            reported_at,
            cold_until,
            silent: now.saturating_duration_since(reported_at) > self.timeout,
            report,
        };
        let name = incoming.report.server.clone();
        match self.entries.get_mut(&name) {
            Some(entry) if entry.report.born == incoming.report.born => {
                let outcome = entry.update(incoming, now);
                if outcome == registry::MergeOutcome::Changed {
                    self.log_change(name);
                }
                outcome
            }
            _ => {
                self.entries.insert(name.clone(), incoming);
                self.log_change(name);
                registry::MergeOutcome::Changed
            }
        }
    }

    /// Merges a record from another VM.
    pub fn merge_record(
        &mut self,
        record: registry::Record,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let reported_at = time_before(now, record.age_ms);
        let report = registry::Report {
            server: record.server,
            born: record.born,
            sequence: record.sequence,
            service: record.service,
            address: record.address,
            zone: record.zone,
            version: record.version,
            slots: record.slots,
            phase: record.phase,
            cold_left: time::Duration::from_millis(record.cold_ms),
        };
        self.merge(report, reported_at, now)
    }

    /// Handles a heartbeat that another VM received; returns whether it ends the
    /// silence of a server.
    pub fn refresh(&mut self, refresh: &registry::Refresh, now: time::Instant) -> bool {
        let reported_at = time_before(now, refresh.age_ms);
        let Some(entry) = self.entries.get_mut(&refresh.server) else {
            return false;
        };
        if entry.report.born != refresh.born || refresh.sequence <= entry.report.sequence {
            return false;
        }
        entry.report.sequence = refresh.sequence;
        entry.reported_at = entry.reported_at.max(reported_at);
        let no_longer_silent =
            entry.silent && now.saturating_duration_since(reported_at) <= self.timeout;
        if no_longer_silent {
            entry.silent = false;
            self.log_change(refresh.server.clone());
        }
        no_longer_silent
    }

    /// Marks a server as gone, unless `born` names an incarnation earlier than the known one.
    ///
    /// A server that is not known yet is recorded, because a report that it sent before it left
    /// may arrive later; without its start time that report could not be told from one of the
    /// next incarnation.
    pub fn mark_gone(
        &mut self,
        server: &str,
        born: Option<ids::BornMillis>,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let Some(entry) = self.entries.get_mut(server) else {
            return self.record_departure(server, born, now);
        };
        let born = born.unwrap_or(entry.report.born);
        if born < entry.report.born
            || (born == entry.report.born && entry.report.phase == registry::Phase::Gone)
        {
            return registry::MergeOutcome::Stale;
        }
        if born > entry.report.born {
            entry.report.born = born;
            entry.report.sequence = 0;
        }
        entry.report.phase = registry::Phase::Gone;
        entry.reported_at = now;
        self.log_change(server.to_owned());
        registry::MergeOutcome::Changed
    }

    /// Records the departure of a server that has not reported.
    fn record_departure(
        &mut self,
        server: &str,
        born: Option<ids::BornMillis>,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let unknown = self.entries.values().filter(|entry| !entry.has_reported());
        let Some(born) = born.filter(|_| unknown.count() < MAX_UNKNOWN_DEPARTURES) else {
            return registry::MergeOutcome::Unrecorded;
        };
        let departure = registry::Departure {
            server: server.to_owned(),
            born,
            phase: registry::Phase::Gone,
        };
        self.insert_departure(departure, now);
        registry::MergeOutcome::Changed
    }

    /// Merges a departure that the replicated log holds, whether or not the server is known.
    pub fn merge_departure(&mut self, departure: registry::Departure, now: time::Instant) {
        let Some(entry) = self.entries.get_mut(&departure.server) else {
            self.insert_departure(departure, now);
            return;
        };
        let known = (entry.report.born, entry.report.phase);
        if known >= (departure.born, departure.phase) {
            return;
        }
        if departure.born > entry.report.born {
            self.insert_departure(departure, now);
            return;
        }
        entry.report.phase = departure.phase;
        entry.reported_at = now;
        self.log_change(departure.server);
    }

    /// Start time of the known incarnation of a server.
    pub fn born(&self, server: &str) -> Option<ids::BornMillis> {
        Some(self.entries.get(server)?.report.born)
    }

    fn insert_departure(&mut self, departure: registry::Departure, now: time::Instant) {
        let server = departure.server.clone();
        let entry = entry::Entry::departed(departure, now);
        self.entries.insert(server.clone(), entry);
        self.log_change(server);
    }

    /// Marks a server as leaving because an entry VM got that statement from it.
    ///
    /// Only the known incarnation is marked, and never the first serving server of a
    /// service by name: statements at second hand cannot leave a service without servers,
    /// not even when several VMs receive them at the same time.
    pub fn mark_leaving(
        &mut self,
        server: &str,
        born: ids::BornMillis,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let keeper = self.entries.get(server).and_then(|entry| {
            let service = &entry.report.service;
            let mut serving = self.entries.values().filter(|entry| entry.is_serving());
            serving.find(|entry| entry.report.service == *service)
        });
        let is_keeper = keeper.is_none_or(|entry| entry.report.server == server);
        let Some(entry) = self.entries.get_mut(server) else {
            return registry::MergeOutcome::Stale;
        };
        if is_keeper || !entry.is_serving() || entry.report.born != born {
            return registry::MergeOutcome::Stale;
        }
        entry.report.phase = registry::Phase::Leaving;
        entry.reported_at = entry.reported_at.max(now);
        self.log_change(server.to_owned());
        registry::MergeOutcome::Changed
    }

    /// Marks servers without a recent report as silent and removes those without any for long.
    pub fn expire(&mut self, now: time::Instant) {
        let mut silent = Vec::new();
        for (name, entry) in self.entries.iter_mut() {
            let age = now.saturating_duration_since(entry.reported_at);
            if !entry.silent && entry.report.phase != registry::Phase::Gone && age > self.timeout {
                entry.silent = true;
                silent.push(name.clone());
            }
        }
        for name in silent {
            self.log_change(name);
        }
        self.entries.retain(|_, entry| {
            now.saturating_duration_since(entry.reported_at) < TOMBSTONE_LIFETIME
        });
    }

    /// Latest state of a server.
    pub fn record(&self, server: &str, now: time::Instant) -> Option<registry::Record> {
        Some(self.entries.get(server)?.record(now))
    }

    /// Number of servers of a service that serve with this version.
    pub fn serving(&self, service: &str, version: &str) -> usize {
        let serving = self.entries.values().filter(|entry| {
            let report = &entry.report;
            entry.is_serving() && report.service == service && report.version == version
        });
        serving.count()
    }

    /// Latest state of every server.
    pub fn records(&self, now: time::Instant) -> Vec<registry::Record> {
        self.entries
            .values()
            .map(|entry| entry.record(now))
            .collect()
    }

    /// Changes after a position, or all records if the log does not reach back that far.
    pub fn since(&self, position: ids::ChangePosition, now: time::Instant) -> registry::ChangeSet {
        let behind = self.position.saturating_sub(position);
        let records = match usize::try_from(behind) {
            Ok(behind) if position <= self.position && behind <= self.log.len() => {
                let mut names: Vec<_> = self.log.iter().skip(self.log.len() - behind).collect();
                names.sort_unstable();
                names.dedup();
                let record = |name: &ids::ServerName| self.record(name, now);
                names.into_iter().filter_map(record).collect()
            }
            _ => self.records(now),
        };
        registry::ChangeSet {
            position: self.position,
            records,
        }
    }

    /// Whether the address belongs to the reporting server; marks its previous user as gone.
    fn claim_address(&mut self, report: &registry::Report) -> bool {
        let conflicts = |entry: &entry::Entry| {
            entry.report.address == report.address
                && entry.report.server != report.server
                && entry.report.phase != registry::Phase::Gone
                // A server that left before its first report has no address.
                && entry.has_reported()
        };
        let Some(previous) = self.entries.values_mut().find(|entry| conflicts(entry)) else {
            return true;
        };
        if previous.report.born > report.born {
            return false;
        }
        previous.report.phase = registry::Phase::Gone;
        let name = previous.report.server.clone();
        self.log_change(name);
        true
    }

    /// Appends a changed server to the log.
    fn log_change(&mut self, server: ids::ServerName) {
        self.position += 1;
        self.log.push_back(server);
        if self.log.len() > MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
    }
}

/// Time `age_ms` before `now`, or `now` if the clock does not reach back that far.
fn time_before(now: time::Instant, age_ms: u64) -> time::Instant {
    now.checked_sub(time::Duration::from_millis(age_ms))
        .unwrap_or(now)
}

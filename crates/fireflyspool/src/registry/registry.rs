//! The merged reports of all backend servers.

use std::{collections, time};

use crate::registry::known;
use crate::{ids, registry, sorted};

/// Changes that the log keeps; a follower further behind gets all records.
const LOG_LIMIT: usize = 4_096;

/// Time for which an ended server is remembered, so that a delayed heartbeat
/// does not revive it.
const TOMBSTONE: time::Duration = time::Duration::from_secs(600);

/// Added to the announced end of a cold start for delays on the way.
const COLD_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Backend servers by name.
pub struct Registry {
    known: sorted::SortedMap<ids::ServerName, known::Known>,
    log: collections::VecDeque<ids::ServerName>,
    /// Position after the newest entry of the log.
    position: ids::ChangePosition,
    /// Silence after which a server counts as silent.
    patience: time::Duration,
}

impl Registry {
    /// An empty registry.
    pub fn new(patience: time::Duration) -> Self {
        Self {
            known: sorted::SortedMap::new(),
            log: collections::VecDeque::new(),
            position: 0,
            patience,
        }
    }

    /// Position after the newest change.
    pub fn position(&self) -> ids::ChangePosition {
        self.position
    }

    /// Merges a report that was made at `heard`.
    pub fn merge(
        &mut self,
        report: registry::Report,
        heard: time::Instant,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let known = self.known.get(&report.server);
        if let Some(known) = known
            && report.born < known.report.born
        {
            return registry::MergeOutcome::Stale;
        }
        if !self.claim_address(&report) {
            return registry::MergeOutcome::Stale;
        }
        let cold_until = match report.cold_left.is_zero() {
            true => heard,
            false => heard + report.cold_left + COLD_MARGIN,
        };
        let fresh = known::Known {
            heard,
            cold_until,
            silent: now.saturating_duration_since(heard) > self.patience,
            report,
        };
        let name = fresh.report.server.clone();
        match self.known.get_mut(&name) {
            Some(known) if known.report.born == fresh.report.born => {
                let outcome = known.update(fresh, now);
                if outcome == registry::MergeOutcome::Changed {
                    self.note(name);
                }
                outcome
            }
            _ => {
                self.known.insert(name.clone(), fresh);
                self.note(name);
                registry::MergeOutcome::Changed
            }
        }
    }

    /// Merges a record of another VM.
    pub fn merge_record(
        &mut self,
        record: registry::Record,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let heard = earlier(now, record.age_ms);
        let report = registry::Report {
            server: record.server,
            born: record.born,
            sequence: record.sequence,
            service: record.service,
            address: record.address,
            zone: record.zone,
            slots: record.slots,
            phase: record.phase,
            cold_left: time::Duration::from_millis(record.cold_ms),
        };
        self.merge(report, heard, now)
    }

    /// Takes a heartbeat that another VM received; returns whether it was news.
    pub fn refresh(&mut self, refresh: &registry::Refresh, now: time::Instant) -> bool {
        let heard = earlier(now, refresh.age_ms);
        let Some(known) = self.known.get_mut(&refresh.server) else {
            return false;
        };
        if known.report.born != refresh.born || refresh.sequence <= known.report.sequence {
            return false;
        }
        known.report.sequence = refresh.sequence;
        known.heard = known.heard.max(heard);
        let back = known.silent && now.saturating_duration_since(heard) <= self.patience;
        if back {
            known.silent = false;
            self.note(refresh.server.clone());
        }
        back
    }

    /// Records that a server ended.
    pub fn mark_gone(
        &mut self,
        server: &str,
        born: Option<ids::BornMillis>,
        now: time::Instant,
    ) -> registry::MergeOutcome {
        let Some(known) = self.known.get_mut(server) else {
            return registry::MergeOutcome::Stale;
        };
        if born.is_some_and(|born| born < known.report.born)
            || known.report.phase == registry::Phase::Gone
        {
            return registry::MergeOutcome::Stale;
        }
        known.report.phase = registry::Phase::Gone;
        known.heard = now;
        self.note(server.to_owned());
        registry::MergeOutcome::Changed
    }

    /// Marks servers that have been silent for too long and forgets old ones.
    pub fn expire(&mut self, now: time::Instant) {
        let mut silent = Vec::new();
        for (name, known) in self.known.iter_mut() {
            let age = now.saturating_duration_since(known.heard);
            if !known.silent && known.report.phase != registry::Phase::Gone && age > self.patience {
                known.silent = true;
                silent.push(name.clone());
            }
        }
        for name in silent {
            self.note(name);
        }
        self.known
            .retain(|_, known| now.saturating_duration_since(known.heard) < TOMBSTONE);
    }

    /// Latest state of a server.
    pub fn record(&self, server: &str, now: time::Instant) -> Option<registry::Record> {
        Some(self.known.get(server)?.record(now))
    }

    /// Latest state of every server.
    pub fn records(&self, now: time::Instant) -> Vec<registry::Record> {
        self.known.values().map(|known| known.record(now)).collect()
    }

    /// Changes after a position; all records if the log does not reach back that far.
    pub fn since(&self, position: ids::ChangePosition, now: time::Instant) -> registry::ChangeSet {
        let behind = self.position.saturating_sub(position);
        let records = match usize::try_from(behind) {
            Ok(behind) if position <= self.position && behind <= self.log.len() => {
                let mut names: Vec<_> = self.log.iter().skip(self.log.len() - behind).collect();
                names.sort_unstable();
                names.dedup();
                let known = |name: &ids::ServerName| self.record(name, now);
                names.into_iter().filter_map(known).collect()
            }
            _ => self.records(now),
        };
        registry::ChangeSet {
            position: self.position,
            records,
        }
    }

    /// Whether the reporter holds its address; ends the former holder.
    fn claim_address(&mut self, report: &registry::Report) -> bool {
        let rival = |known: &known::Known| {
            known.report.address == report.address
                && known.report.server != report.server
                && known.report.phase != registry::Phase::Gone
        };
        let Some(holder) = self.known.values_mut().find(|known| rival(known)) else {
            return true;
        };
        if holder.report.born > report.born {
            return false;
        }
        holder.report.phase = registry::Phase::Gone;
        let name = holder.report.server.clone();
        self.note(name);
        true
    }

    fn note(&mut self, server: ids::ServerName) {
        self.position += 1;
        self.log.push_back(server);
        if self.log.len() > LOG_LIMIT {
            self.log.pop_front();
        }
    }
}

/// The time that long ago, or `now` where the clock does not reach back so far.
fn earlier(now: time::Instant, age_ms: u64) -> time::Instant {
    now.checked_sub(time::Duration::from_millis(age_ms))
        .unwrap_or(now)
}

//! Fingerprints under which backend servers died.

use std::time;

use super::suspect;
use crate::{ids, roster, sorted};

/// Suspects of one term, bounded in number and time.
///
/// When a new one does not fit, the one whose last death lies farthest back
/// is dropped.
#[derive(Clone, Debug)]
pub(super) struct SuspectList {
    suspects: sorted::SortedMap<ids::Fingerprint, suspect::Suspect>,
    memory: time::Duration,
    limit: usize,
}

impl SuspectList {
    pub(super) fn new(config: &roster::Config) -> Self {
        Self {
            suspects: sorted::SortedMap::new(),
            memory: config.suspect_retention,
            limit: config.suspect_limit,
        }
    }

    /// Counts a death.
    pub(super) fn report(
        &mut self,
        crash: &roster::Crash,
        log: &mut roster::ChangeLog,
        now: time::Instant,
    ) {
        self.alter(crash.fingerprint, log, now, |suspect| {
            suspect.add(&crash.server, crash.incarnation)
        });
    }

    /// Takes over the crashes that an entry VM knows from an earlier term.
    pub(super) fn inherit(
        &mut self,
        fingerprint: ids::Fingerprint,
        crashes: u32,
        log: &mut roster::ChangeLog,
        now: time::Instant,
    ) {
        self.alter(fingerprint, log, now, |suspect| suspect.inherit(crashes));
    }

    /// Drops suspects without a recent death.
    pub(super) fn expire(&mut self, log: &mut roster::ChangeLog, now: time::Instant) {
        let memory = self.memory;
        self.suspects.retain(|fingerprint, suspect| {
            let keep = now < suspect.last + memory;
            if !keep {
                log.push(roster::RecordKey::Suspect(*fingerprint));
            }
            keep
        });
    }

    /// Earliest time at which a suspect is dropped.
    pub(super) fn next_end(&self) -> Option<time::Instant> {
        let ends = self
            .suspects
            .values()
            .map(|suspect| suspect.last + self.memory);
        ends.min()
    }

    /// Record of a fingerprint as of a logged change; `None` if a later change replaces it.
    pub(super) fn change(
        &self,
        fingerprint: ids::Fingerprint,
        logged: u64,
    ) -> Option<roster::SuspectChange> {
        let suspect = self.suspects.get(&fingerprint);
        let latest = suspect.is_none_or(|suspect| suspect.changed == logged);
        latest.then(|| roster::SuspectChange {
            sequence: logged,
            fingerprint,
            crashes: suspect.map_or(0, suspect::Suspect::crashes),
        })
    }

    /// All records.
    pub(super) fn changes(&self) -> impl Iterator<Item = roster::SuspectChange> {
        self.suspects
            .iter()
            .map(|(fingerprint, suspect)| roster::SuspectChange {
                sequence: suspect.changed,
                fingerprint: *fingerprint,
                crashes: suspect.crashes(),
            })
    }

    fn alter(
        &mut self,
        fingerprint: ids::Fingerprint,
        log: &mut roster::ChangeLog,
        now: time::Instant,
        alter: impl FnOnce(&mut suspect::Suspect) -> bool,
    ) {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= self.limit {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
                log.push(roster::RecordKey::Suspect(oldest));
            }
        }
        let suspect = self
            .suspects
            .get_or_insert_with(fingerprint, || suspect::Suspect::new(now));
        if alter(suspect) {
            suspect.last = now;
            suspect.changed = log.push(roster::RecordKey::Suspect(fingerprint));
        }
    }
}

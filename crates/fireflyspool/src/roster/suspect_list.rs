//! Suspect fingerprints.

use std::time;

use super::suspect;
use crate::{ids, roster, sorted};

/// Suspects of one term, limited in number and retention.
///
/// If the list is full, a new suspect replaces the one whose latest crash is oldest.
#[derive(Clone, Debug)]
pub(super) struct SuspectList {
    suspects: sorted::SortedMap<ids::Fingerprint, suspect::Suspect>,
    retention: time::Duration,
    limit: usize,
}

impl SuspectList {
    pub(super) fn new(config: &roster::Config) -> Self {
        Self {
            suspects: sorted::SortedMap::new(),
            retention: config.suspect_retention,
            limit: config.suspect_limit,
        }
    }

    /// Counts a reported crash.
    pub(super) fn report(
        &mut self,
        crash: &roster::Crash,
        log: &mut roster::ChangeLog,
        now: time::Instant,
    ) {
        self.update(crash.fingerprint, log, now, |suspect| {
            suspect.add_crash(&crash.server, crash.incarnation)
        });
    }

    /// Takes over the count that an entry VM knows from an earlier term.
    pub(super) fn inherit(
        &mut self,
        fingerprint: ids::Fingerprint,
        crashes: u32,
        log: &mut roster::ChangeLog,
        now: time::Instant,
    ) {
        self.update(fingerprint, log, now, |suspect| suspect.inherit(crashes));
    }

    /// Drops suspects whose latest crash is older than the retention time.
    pub(super) fn expire(&mut self, log: &mut roster::ChangeLog, now: time::Instant) {
        let retention = self.retention;
        self.suspects.retain(|fingerprint, suspect| {
            let keep = now < suspect.last_crash + retention;
            if !keep {
                log.push(roster::RecordKey::Suspect(*fingerprint));
            }
            keep
        });
    }

    /// Earliest time at which a suspect is dropped.
    pub(super) fn next_expiry(&self) -> Option<time::Instant> {
        let expiries = self
            .suspects
            .values()
            .map(|suspect| suspect.last_crash + self.retention);
        expiries.min()
    }

    /// Change of a suspect for a delta; `None` if a change later than `logged` replaced it.
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

    /// All suspects as changes, for a whole update.
    pub(super) fn changes(&self) -> impl Iterator<Item = roster::SuspectChange> {
        self.suspects
            .iter()
            .map(|(fingerprint, suspect)| roster::SuspectChange {
                sequence: suspect.changed,
                fingerprint: *fingerprint,
                crashes: suspect.crashes(),
            })
    }

    /// Applies `update` to a suspect, which is added if necessary, and logs a change of its count.
    fn update(
        &mut self,
        fingerprint: ids::Fingerprint,
        log: &mut roster::ChangeLog,
        now: time::Instant,
        update: impl FnOnce(&mut suspect::Suspect) -> bool,
    ) {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= self.limit {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_crash);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
                log.push(roster::RecordKey::Suspect(oldest));
            }
        }
        let suspect = self
            .suspects
            .get_or_insert_with(fingerprint, || suspect::Suspect::new(now));
        if update(suspect) {
            suspect.last_crash = now;
            suspect.changed = log.push(roster::RecordKey::Suspect(fingerprint));
        }
    }
}

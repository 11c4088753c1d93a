//! Requests suspected of crashing backend servers, by fingerprint.

use std::time;

use crate::dispatch::{crash, suspicion};
use crate::{ids, sorted};

/// Crashes after which requests with the same fingerprint are refused.
pub(super) const CRASH_LIMIT: u32 = 2;

/// Time after the last crash for which a fingerprint stays suspect at this owner.
///
/// Long enough to cover resends by the caller, short enough that a request
/// that happened to run during an unrelated crash is soon accepted again.
const SUSPICION: time::Duration = time::Duration::from_secs(10);

/// Most fingerprints kept; the one that expires first is evicted.
const MAX_SUSPECTS: usize = 1_024;

/// Crashes observed by this owner and counts reported by the tier.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    observed: sorted::SortedMap<ids::Fingerprint, suspicion::Suspicion>,
    reported: std::sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
}

impl Suspects {
    pub(super) fn len(&self) -> usize {
        self.observed.len()
    }

    /// Replaces the counts that the view reports.
    pub(super) fn set_reported(
        &mut self,
        reported: std::sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
    ) {
        self.reported = reported;
    }

    /// Crashes under a fingerprint that count now: observed or reported, whichever is more.
    pub(super) fn crashes(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> u32 {
        let observed = self.observed.get(&fingerprint);
        let current = observed.filter(|suspicion| now < suspicion.until);
        let own = current.map_or(0, |suspicion| suspicion.crashes.len());
        let reported = self.reported.get(&fingerprint).copied().unwrap_or(0);
        reported.max(u32::try_from(own).unwrap_or(u32::MAX))
    }

    pub(super) fn is_suspect(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> bool {
        // Fast path: this runs for every placement, and there is almost never a suspect.
        (!self.observed.is_empty() || !self.reported.is_empty())
            && self.crashes(fingerprint, now) > 0
    }

    pub(super) fn is_refused(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> bool {
        self.crashes(fingerprint, now) >= CRASH_LIMIT
    }

    /// Whether any crash is on record, observed or reported.
    pub(super) fn has_any(&self) -> bool {
        !self.observed.is_empty() || !self.reported.is_empty()
    }

    /// Records a crash during an attempt; returns whether it was new.
    ///
    /// An attempt sent after a crash of the same incarnation reached a new
    /// process that was not announced yet, so its crash counts separately.
    pub(super) fn record(
        &mut self,
        fingerprint: ids::Fingerprint,
        server: &str,
        incarnation: ids::Incarnation,
        sent: time::Instant,
        now: time::Instant,
    ) -> bool {
        self.observed.retain(|_, suspicion| now < suspicion.until);
        let until = now + SUSPICION;
        if !self.observed.contains_key(&fingerprint) && self.observed.len() >= MAX_SUSPECTS {
            let first = self.observed.iter().min_by_key(|(_, s)| s.until);
            if let Some(first) = first.map(|(key, _)| *key) {
                self.observed.remove(&first);
            }
        }
        let suspicion = self
            .observed
            .get_or_insert_with(fingerprint, || suspicion::Suspicion {
                crashes: Vec::new(),
                until,
            });
        let known = suspicion.crashes.iter().any(|crash| {
            crash.server == server && crash.incarnation == incarnation && sent <= crash.time
        });
        if !known {
            suspicion.crashes.push(crash::Crash {
                server: server.to_owned(),
                incarnation,
                time: now,
            });
            suspicion.until = until;
        }
        !known
    }

    /// Removes crashes before `sent` of a process that answered an attempt sent then.
    pub(super) fn clear(
        &mut self,
        server: &str,
        incarnation: ids::Incarnation,
        sent: time::Instant,
    ) {
        self.observed.retain(|_, suspicion| {
            suspicion.crashes.retain(|crash| {
                crash.server != server || crash.incarnation != incarnation || sent <= crash.time
            });
            !suspicion.crashes.is_empty()
        });
    }
}

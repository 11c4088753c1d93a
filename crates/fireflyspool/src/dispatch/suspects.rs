//! Contents suspected of crashing backend servers.

use std::time;

use crate::dispatch::{crash, suspicion};
use crate::{ids, sorted};

/// Backend servers that may crash under a content before it is refused.
pub(super) const CRASH_LIMIT: u32 = 2;

/// Time after the last crash for which a content stays suspect here.
///
/// Long enough to see the same content sent again by its caller, short enough
/// that a content that ran when a server crashed by chance is soon free again.
const SUSPICION: time::Duration = time::Duration::from_secs(10);

/// Contents remembered; the one that expires first makes room.
const CAPACITY: usize = 1_024;

/// Crashes seen by this owner and those it was told of.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    seen: sorted::SortedMap<ids::Fingerprint, suspicion::Suspicion>,
    told: std::sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
}

impl Suspects {
    pub(super) fn len(&self) -> usize {
        self.seen.len()
    }

    /// Takes over the list of the tier.
    pub(super) fn tell(&mut self, told: std::sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>) {
        self.told = told;
    }

    /// Crashes under a content, as far as they count now.
    pub(super) fn crashes(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> u32 {
        let seen = self.seen.get(&fingerprint);
        let current = seen.filter(|suspicion| now < suspicion.until);
        let own = current.map_or(0, |suspicion| suspicion.crashed.len());
        let told = self.told.get(&fingerprint).copied().unwrap_or(0);
        told.max(u32::try_from(own).unwrap_or(u32::MAX))
    }

    pub(super) fn is_suspect(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> bool {
        // Almost always there is no suspect at all, and this is asked for every placement.
        (!self.seen.is_empty() || !self.told.is_empty()) && self.crashes(fingerprint, now) > 0
    }

    pub(super) fn is_refused(&self, fingerprint: ids::Fingerprint, now: time::Instant) -> bool {
        self.crashes(fingerprint, now) >= CRASH_LIMIT
    }

    /// Whether any content is refused.
    pub(super) fn any(&self) -> bool {
        !self.seen.is_empty() || !self.told.is_empty()
    }

    /// Takes note of a crash under an attempt; returns whether it was not known yet.
    ///
    /// An attempt that was sent after a crash of the same incarnation reached
    /// a new process that was not announced yet, so it counts as another one.
    pub(super) fn record(
        &mut self,
        fingerprint: ids::Fingerprint,
        server: &str,
        incarnation: ids::Incarnation,
        sent: time::Instant,
        now: time::Instant,
    ) -> bool {
        self.seen.retain(|_, suspicion| now < suspicion.until);
        let until = now + SUSPICION;
        if !self.seen.contains_key(&fingerprint) && self.seen.len() >= CAPACITY {
            let first = self.seen.iter().min_by_key(|(_, s)| s.until);
            if let Some(first) = first.map(|(key, _)| *key) {
                self.seen.remove(&first);
            }
        }
        let suspicion = self
            .seen
            .get_or_insert_with(fingerprint, || suspicion::Suspicion {
                crashed: Vec::new(),
                until,
            });
        let known = suspicion.crashed.iter().any(|crash| {
            crash.server == server && crash.incarnation == incarnation && sent <= crash.time
        });
        if !known {
            suspicion.crashed.push(crash::Crash {
                server: server.to_owned(),
                incarnation,
                time: now,
            });
            suspicion.until = until;
        }
        !known
    }

    /// Takes back crashes of a process that answered what was sent to it later.
    pub(super) fn clear(
        &mut self,
        server: &str,
        incarnation: ids::Incarnation,
        sent: time::Instant,
    ) {
        self.seen.retain(|_, suspicion| {
            suspicion.crashed.retain(|crash| {
                crash.server != server || crash.incarnation != incarnation || sent <= crash.time
            });
            !suspicion.crashed.is_empty()
        });
    }
}

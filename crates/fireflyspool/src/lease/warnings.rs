//! Warnings of coordinators.

use std::{sync, time};

use super::warned;
use crate::{ids, roster, sorted};

/// Time for which a warning counts; the leader names the crash well before.
///
/// The owner repeats its report with every renewal, so this spans ten of them.
const LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Crashes under contents, until the leader has published them.
#[derive(Clone, Debug)]
pub(super) struct Warnings {
    warned: sorted::SortedMap<ids::Fingerprint, warned::Warned>,
    limit: usize,
}

impl Warnings {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            warned: sorted::SortedMap::new(),
            limit,
        }
    }

    /// Takes a warning; returns whether it names a crash that was not known.
    ///
    /// The warning that ends first makes room when there are too many.
    pub(super) fn add(&mut self, crash: roster::Crash, now: time::Instant) -> bool {
        self.expire(now);
        if !self.warned.contains_key(&crash.fingerprint) && self.warned.len() >= self.limit {
            let first = self.warned.iter().min_by_key(|(_, warned)| warned.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.warned.remove(&first);
            }
        }
        let until = now + LIFETIME;
        let warned = self
            .warned
            .get_or_insert_with(crash.fingerprint, || warned::Warned {
                crashed: sorted::SortedMap::new(),
                until,
            });
        let process = (crash.server, crash.incarnation);
        if warned.crashed.contains_key(&process) {
            return false;
        }
        warned.crashed.insert(process, ());
        warned.until = until;
        true
    }

    /// Drops what no longer counts.
    pub(super) fn expire(&mut self, now: time::Instant) {
        self.warned.retain(|_, warned| now < warned.until);
    }

    /// Suspects of the leader, with the crashes it has not published yet.
    pub(super) fn merge(
        &self,
        published: &sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
    ) -> sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>> {
        let mut merged = sync::Arc::clone(published);
        for (fingerprint, warned) in self.warned.iter() {
            let crashes = u32::try_from(warned.crashed.len()).unwrap_or(u32::MAX);
            if published
                .get(fingerprint)
                .is_none_or(|known| *known < crashes)
            {
                sync::Arc::make_mut(&mut merged).insert(*fingerprint, crashes);
            }
        }
        merged
    }
}

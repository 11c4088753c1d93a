//! Crash warnings of coordinators.

use std::{sync, time};

use super::warning;
use crate::{ids, roster, sorted};

/// Time for which a warning is kept; normally the leader publishes the crash well before.
///
/// The owner repeats its report with every renewal, so this spans ten of them.
const WARNING_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Crash warnings by fingerprint, kept until they expire.
#[derive(Clone, Debug)]
pub(super) struct Warnings {
    warnings: sorted::SortedMap<ids::Fingerprint, warning::Warning>,
    limit: usize,
}

impl Warnings {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            warnings: sorted::SortedMap::new(),
            limit,
        }
    }

    /// Adds a crash; returns whether it was not known from a warning.
    ///
    /// If there are too many warnings, the one that expires first is dropped.
    pub(super) fn add(&mut self, crash: roster::Crash, now: time::Instant) -> bool {
        self.expire(now);
        if !self.warnings.contains_key(&crash.fingerprint) && self.warnings.len() >= self.limit {
            let first = self
                .warnings
                .iter()
                .min_by_key(|(_, warning)| warning.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.warnings.remove(&first);
            }
        }
        let until = now + WARNING_LIFETIME;
        let warning = self
            .warnings
            .get_or_insert_with(crash.fingerprint, || warning::Warning {
                crashed: sorted::SortedMap::new(),
                until,
            });
        let process = (crash.server, crash.incarnation);
        if warning.crashed.contains_key(&process) {
            return false;
        }
        warning.crashed.insert(process, ());
        warning.until = until;
        true
    }

    /// Drops expired warnings.
    pub(super) fn expire(&mut self, now: time::Instant) {
        self.warnings.retain(|_, warning| now < warning.until);
    }

    /// Suspects of the leader and of warnings, each with the greater crash count.
    pub(super) fn merge(
        &self,
        published: &sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>>,
    ) -> sync::Arc<sorted::SortedMap<ids::Fingerprint, u32>> {
        let mut merged = sync::Arc::clone(published);
        for (fingerprint, warning) in self.warnings.iter() {
            let crashes = u32::try_from(warning.crashed.len()).unwrap_or(u32::MAX);
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

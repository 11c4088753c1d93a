//! Last changes of availability zones.
//!
//! Orders that take a zone out or bring it back have no numbers. One that is held up on its way
//! to the leader states the catalog revision that was known where it came in, and has no effect
//! on a zone that was changed after it.

use crate::{ids, sorted};

/// Zones whose last change is kept; the oldest changes of more zones are forgotten.
const MAX_ZONES: usize = 4_096;

/// Catalog revision at which each zone was last taken out or brought back by an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZoneChanges {
    revisions: sorted::SortedMap<ids::ZoneName, ids::Revision>,
}

impl ZoneChanges {
    /// Revision of the last change of a zone; 0 if none is known.
    pub fn revision(&self, zone: &str) -> ids::Revision {
        self.revisions.get(zone).copied().unwrap_or_default()
    }

    /// Records a change of a zone.
    pub(super) fn record(&mut self, zone: &str, revision: ids::Revision) {
        self.revisions.insert(zone.to_owned(), revision);
        if self.revisions.len() > MAX_ZONES {
            let oldest = self.revisions.values().min().copied();
            self.revisions
                .retain(|_, revision| Some(*revision) != oldest);
        }
    }
}

//! Catalog part of a grant.

use crate::{ids, state};

/// Brings the catalog of a holder to the revision of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogUpdate {
    /// Changes after the revision of the request, in order.
    Changes(Vec<state::Change>),
    /// The whole catalog, if the history no longer reaches back to the revision of the request
    /// or the holder asked for it.
    Whole(state::Catalog),
}

impl CatalogUpdate {
    /// Update for a holder that has applied `revision`; `None` if it is up to date.
    pub(super) fn since(
        control: &state::ControlState,
        revision: ids::Revision,
        whole: bool,
    ) -> Option<Self> {
        if whole {
            return Some(Self::Whole(control.catalog.clone()));
        }
        if revision >= control.catalog.revision {
            return None;
        }
        let changes = control.history.since(revision);
        Some(changes.map_or_else(
            || Self::Whole(control.catalog.clone()),
            |changes| Self::Changes(changes.map(|record| record.change.clone()).collect()),
        ))
    }
}

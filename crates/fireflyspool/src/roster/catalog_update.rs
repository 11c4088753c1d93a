//! Part of a grant that brings the catalog up to date.

use crate::{ids, state};

/// Difference between the catalog of a holder and that of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogUpdate {
    /// Changes that follow the revision of the request, in order.
    Changes(Vec<state::Change>),
    /// The whole catalog.
    Whole(state::Catalog),
}

impl CatalogUpdate {
    /// What a holder of a revision needs; `None` if it is up to date.
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

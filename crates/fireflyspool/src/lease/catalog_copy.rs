//! Copy of the catalog at a holder.

use std::sync;

use crate::{ids, roster, state};

/// Catalog that is updated by consecutive changes or replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct CatalogCopy {
    pub(super) catalog: sync::Arc<state::Catalog>,
    /// Whether changes could not be applied, so that the whole catalog is needed.
    pub(super) needs_whole: bool,
}

impl CatalogCopy {
    /// Applies the update of a grant; returns whether the catalog has reached its `revision`.
    pub(super) fn update(
        &mut self,
        revision: ids::Revision,
        update: Option<roster::CatalogUpdate>,
    ) -> bool {
        match update {
            Some(roster::CatalogUpdate::Whole(catalog))
                if catalog.revision >= self.catalog.revision =>
            {
                self.catalog = sync::Arc::new(catalog);
                self.needs_whole = false;
            }
            Some(roster::CatalogUpdate::Changes(changes)) => {
                let count = u64::try_from(changes.len()).unwrap_or(u64::MAX);
                let base = revision.saturating_sub(count);
                self.needs_whole |= !self.apply_changes(base, &changes);
            }
            Some(roster::CatalogUpdate::Whole(_)) | None => {}
        }
        !self.needs_whole && self.catalog.revision >= revision
    }

    /// Applies changes that start after the revision `base`.
    ///
    /// Returns false if changes are missing in between or one is invalid.
    fn apply_changes(&mut self, base: ids::Revision, changes: &[state::Change]) -> bool {
        let Some(applied) = self.catalog.revision.checked_sub(base) else {
            return false;
        };
        let applied = usize::try_from(applied).unwrap_or(usize::MAX);
        let new = changes.get(applied..).unwrap_or_default();
        let mut catalog = sync::Arc::clone(&self.catalog);
        for change in new {
            if sync::Arc::make_mut(&mut catalog).apply(change).is_err() {
                return false;
            }
        }
        self.catalog = catalog;
        true
    }
}

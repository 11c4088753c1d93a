//! Copy of the catalog at a holder.

use std::sync;

use crate::{ids, roster, state};

/// Catalog that moves forward by changes in order, or is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct CatalogCopy {
    pub(super) catalog: sync::Arc<state::Catalog>,
    /// Whether changes did not fit, so that the whole catalog is needed.
    pub(super) broken: bool,
}

impl CatalogCopy {
    /// Takes over what a grant brings; returns whether its revision is reached.
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
                self.broken = false;
            }
            Some(roster::CatalogUpdate::Changes(changes)) => {
                let count = u64::try_from(changes.len()).unwrap_or(u64::MAX);
                let base = revision.saturating_sub(count);
                self.broken |= !self.follow(base, &changes);
            }
            Some(roster::CatalogUpdate::Whole(_)) | None => {}
        }
        !self.broken && self.catalog.revision >= revision
    }

    /// Applies changes that follow a revision; returns whether they fit without a gap.
    fn follow(&mut self, base: ids::Revision, changes: &[state::Change]) -> bool {
        let Some(known) = self.catalog.revision.checked_sub(base) else {
            return false;
        };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        let new = changes.get(known..).unwrap_or_default();
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

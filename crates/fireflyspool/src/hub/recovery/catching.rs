//! Second phase of a recovery.

use crate::{hub::recovery, ids};

/// The applied log has not reached the revision.
#[derive(Clone, Copy, Debug)]
pub(in crate::hub) struct Catching {
    revision: ids::Revision,
}

impl Catching {
    pub(super) fn new(revision: ids::Revision) -> Self {
        Self { revision }
    }

    /// Ends the recovery.
    ///
    /// # Errors
    ///
    /// Returns itself unchanged if the applied revision is too low.
    pub(super) fn apply(self, applied: ids::Revision) -> Result<recovery::Complete, Self> {
        match applied >= self.revision {
            true => Ok(recovery::Complete),
            false => Err(self),
        }
    }
}

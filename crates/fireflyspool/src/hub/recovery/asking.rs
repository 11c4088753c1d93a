//! First phase of a recovery.

use crate::{hub::recovery, ids};

/// The revision that the hub must reach is not known.
#[derive(Clone, Copy, Debug)]
pub(in crate::hub) struct Asking;

impl Asking {
    /// Goes on with the revision that the log held after the hub had started.
    pub(super) fn answered(self, revision: ids::Revision) -> recovery::Catching {
        recovery::Catching::new(revision)
    }
}

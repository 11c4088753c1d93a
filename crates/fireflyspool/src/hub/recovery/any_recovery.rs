//! A recovery in any phase.

use crate::{hub::recovery, ids};

/// Recovery whose phase is known only at run time.
#[derive(Clone, Copy, Debug)]
pub(in crate::hub) enum AnyRecovery {
    /// The revision is not known.
    Asking(recovery::Asking),
    /// The applied log has not reached the revision.
    Catching(recovery::Catching),
    /// All earlier departures are known.
    Complete(recovery::Complete),
}

impl Default for AnyRecovery {
    fn default() -> Self {
        Self::Asking(recovery::Asking)
    }
}

impl AnyRecovery {
    /// Whether the revision must still be asked for.
    pub(in crate::hub) fn is_asking(&self) -> bool {
        matches!(self, Self::Asking(_))
    }

    /// Whether all earlier departures are known.
    pub(in crate::hub) fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }

    /// Notes the revision that the log held; without effect unless it was asked for.
    #[must_use]
    pub(in crate::hub) fn answered(self, revision: ids::Revision) -> Self {
        match self {
            Self::Asking(asking) => Self::Catching(asking.answered(revision)),
            other => other,
        }
    }

    /// Ends the recovery if the applied log has reached the revision.
    #[must_use]
    pub(in crate::hub) fn apply(self, applied: ids::Revision) -> Self {
        match self {
            Self::Catching(catching) => match catching.apply(applied) {
                Ok(complete) => Self::Complete(complete),
                Err(same) => Self::Catching(same),
            },
            other => other,
        }
    }
}

//! Suspicion that a request crashes the servers that run it.

use crate::ids;

/// Suspicion drawn from the connection resets of a query's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// No attempt was reset.
    None,
    /// An attempt was reset, and no probe is under way.
    Raised,
    /// This sub-request is the probe: its result decides whether others are retried.
    Probing(ids::SubRequestId),
    /// The probe was answered, so the content is harmless.
    Cleared,
    /// The content is suspect and is not sent anywhere again.
    Confirmed,
}

impl Suspicion {
    pub(super) fn is_probe(self, sub: ids::SubRequestId) -> bool {
        self == Self::Probing(sub)
    }

    /// Whether hedges and a change of version are allowed.
    pub(super) fn allows_copies(self) -> bool {
        matches!(self, Self::None | Self::Cleared)
    }
}

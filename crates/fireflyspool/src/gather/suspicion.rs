//! Suspicion that a request crashes the servers that run it.

use crate::ids;

/// What the resets of a query's attempts say about its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// No attempt was reset.
    None,
    /// An attempt was reset, and none under way shows whether the content is harmless.
    Raised,
    /// This attempt alone shows whether the content is harmless.
    Probing(ids::SubRequestId),
    /// An attempt after a reset was answered.
    Cleared,
    /// The content is not sent anywhere again.
    Confirmed,
}

impl Suspicion {
    pub(super) fn is_probe(self, sub: ids::SubRequestId) -> bool {
        self == Self::Probing(sub)
    }

    /// Whether additional copies of the content may be sent.
    pub(super) fn allows_copies(self) -> bool {
        matches!(self, Self::None | Self::Cleared)
    }
}

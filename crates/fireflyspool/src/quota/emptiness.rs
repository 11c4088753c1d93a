//! What is known about an empty share.

use std::time;

/// Answer of a control VM that has no token for an account.
#[derive(Clone, Copy, Debug)]
pub(super) struct Emptiness {
    /// Until when it is not asked again.
    pub(super) until: time::Instant,
    /// When a returning caller finds a token; `None` if it does not know the account.
    pub(super) retry: Option<time::Instant>,
}

//! Why a request gets no token.

use std::time;

/// Reason for which a request of a limited account must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The account has used its quota.
    Exhausted {
        /// Time after which a returning caller finds a token.
        retry_after: time::Duration,
    },
    /// No control VM has answered in time; nothing is known about the quota.
    Unavailable {
        /// Time after which a control VM may answer again.
        retry_after: time::Duration,
    },
}

impl Denial {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Exhausted { .. } => "quota exhausted",
            Self::Unavailable { .. } => "quota unknown",
        }
    }
}

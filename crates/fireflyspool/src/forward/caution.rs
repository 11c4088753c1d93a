//! What an exchange knows about the content of its request.

use crate::containment;

/// Whether the servers that get the request may crash under it.
#[derive(Debug)]
pub(super) enum Caution {
    /// No server has crashed or responded yet.
    Unknown,
    /// Servers crashed; no further attempt starts before one responds, except probes.
    Suspected {
        /// Crashes that are not reported yet.
        crashes: Vec<containment::Crash>,
    },
    /// A server has responded, so others crash for other reasons.
    Harmless,
    /// Other requests show that servers crash under it.
    Refused,
}

impl Caution {
    pub(super) fn is_suspected(&self) -> bool {
        matches!(self, Self::Suspected { .. })
    }

    /// Name in log lines.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Suspected { .. } => "suspected",
            Self::Harmless => "harmless",
            Self::Refused => "refused",
        }
    }
}

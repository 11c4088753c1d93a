//! What an attempt showed about its backend server.

use crate::ids;

/// Symptom that an entry VM reports about a backend server to its hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Symptom {
    /// An attempt takes longer than usual.
    Overdue,
    /// An attempt failed after it was sent.
    Failed,
    /// An attempt after a reported one was answered in the usual time.
    Recovered,
    /// The server ended during an attempt to which nothing else has responded.
    Crashed {
        /// Start time of the incarnation that ended.
        born: ids::BornMillis,
        /// Content of the request.
        content: ids::Fingerprint,
        /// Whether the attempt was a probe of that content.
        probe: bool,
        /// Whether the attempt had been given up before.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        unseen: bool,
    },
    /// The server stated in a response that it leaves.
    Leaving {
        /// Start time of the incarnation that leaves.
        born: ids::BornMillis,
    },
}

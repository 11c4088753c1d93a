//! Phases of a backend server.

/// Phase in one incarnation of a backend server; a later phase never reverts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Ended.
    Gone,
}

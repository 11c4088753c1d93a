//! Phase of a backend server's life.

/// Phase that a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Loading its shards; takes no work.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes what runs and takes no new work; final for an incarnation.
    Leaving,
}

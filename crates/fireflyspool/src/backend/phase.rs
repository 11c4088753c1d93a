//! Phase of a backend server's life.

/// Phase that a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Loads its shards and accepts no work yet.
    Starting,
    /// Accepts work.
    Ready,
    /// Finishes running work and accepts none; final for an incarnation.
    Leaving,
}

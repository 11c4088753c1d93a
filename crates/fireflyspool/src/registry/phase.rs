//! Life cycle phase of a backend server.

/// Phase of one incarnation of a backend server; it only advances, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Finishes running requests and accepts no new ones.
    Leaving,
    /// Shut down, or replaced by another server at its address.
    Gone,
}

//! Result of a cancellation.

/// What a backend server says of an attempt that it was asked to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// It no longer runs.
    Cancelled,
    /// It had ended before.
    Finished,
    /// The backend server does not know it.
    Unknown,
}

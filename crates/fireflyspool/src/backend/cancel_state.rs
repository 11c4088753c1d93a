//! Result of a cancellation.

/// State of an attempt after a backend server was asked to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// The attempt was stopped.
    Cancelled,
    /// The attempt had ended before the cancellation.
    Finished,
    /// The backend server does not know the attempt.
    Unknown,
}

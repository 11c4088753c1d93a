//! Causes for which a sub-request failed.

/// Why a sub-request that may have run gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCause {
    /// The connection to the backend server broke.
    Reset,
    /// The deadline passed.
    Timeout,
    /// The backend server answered with an error or with a reply that does not match.
    BadReply,
    /// It was cancelled while it ran.
    Cancelled,
    /// The owner could not be reached or did not answer.
    OwnerLost,
}

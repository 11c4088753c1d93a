//! What is recorded for a claim.

/// Recorded end of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It ran; carries the receipt of the backend server.
    Ran(String),
    /// Nothing of it ran, so a resend may run.
    NotRun,
}

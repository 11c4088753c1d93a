//! Result recorded for a claim.

/// Result of a claimed request, as recorded in the control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It ran; carries the receipt of the backend server.
    Ran(String),
    /// Nothing of it ran, so a resend may run.
    NotRun,
}

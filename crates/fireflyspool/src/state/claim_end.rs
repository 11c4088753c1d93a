//! End of a claimed request.

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEnd {
    /// A backend server ran it.
    Ran {
        /// Receipt of the backend server that ran it.
        receipt: String,
    },
    /// Nothing of it ran and its claimant will not send it again, so a resend may run.
    NotRun,
}

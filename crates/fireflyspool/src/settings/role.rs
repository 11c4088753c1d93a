//! Role of a process.

/// What a process does for the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves callers and owns backend servers.
    Entry,
    /// Votes in the replicated log; needs a data folder.
    Control,
}

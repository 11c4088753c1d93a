//! Role of a process in the tier.

/// Role of a process; one process may have both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves callers and owns backend servers.
    Entry,
    /// Votes on the replicated log; needs a data folder.
    Control,
}

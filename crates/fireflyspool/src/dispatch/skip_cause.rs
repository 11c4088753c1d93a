//! Causes for which a sub-request did not run.

/// Why a sub-request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SkipCause {
    /// The deadline cannot be met.
    Deadline,
    /// This owner has no eligible backend server for it.
    NoServer,
    /// This owner holds no valid lease.
    NoLease,
    /// The queue of this owner is full.
    QueueFull,
    /// Every eligible backend server sheds load.
    Shedding,
    /// The request is suspected of crashing backend servers.
    Suspect,
    /// The coordinator cancelled it before it was sent.
    Cancelled,
    /// The backend server no longer hosts the shard or version.
    NotHosted,
}

//! Reasons for a refusal.

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The statement cannot be parsed or refers to an unknown name.
    Invalid,
    /// This entry VM holds no valid lease.
    NoLease,
    /// This entry VM is shutting down.
    Draining,
    /// The queue is full, or the deadline would pass while the request waits.
    Overloaded,
    /// A deferrable request was held back near the peak and its deadline passed.
    Paced,
    /// The required coverage cannot be met at present.
    Coverage,
    /// The collection or index version is not served.
    Unavailable,
    /// The deadline passed before anything was sent.
    Deadline,
    /// The content is suspected of crashing backend servers.
    Suspect,
    /// The request id is known with other content.
    Conflict,
    /// The request id is older than the retention of claims.
    TooOld,
}

impl RefusalReason {
    /// Name in logs, metrics and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::NoLease => "no_lease",
            Self::Draining => "draining",
            Self::Overloaded => "overloaded",
            Self::Paced => "paced",
            Self::Coverage => "coverage",
            Self::Unavailable => "unavailable",
            Self::Deadline => "deadline",
            Self::Suspect => "suspect",
            Self::Conflict => "conflict",
            Self::TooOld => "too_old",
        }
    }
}

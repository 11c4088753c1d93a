//! Errors of planning.

use std::time;

use crate::{ids, outcome, plan};

/// Retry time for a refused caller: backend servers announce themselves once a
/// second, so the roster may have changed by then.
const ROSTER_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Why a search cannot be planned; nothing of it was sent anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlanError {
    /// This entry VM holds no valid lease.
    #[error("this entry VM holds no valid lease")]
    NoLease,
    /// The catalog has no such collection.
    #[error("collection {0} is not known")]
    UnknownCollection(ids::CollectionName),
    /// The service does not read the collection.
    #[error("service {service} does not read collection {collection}")]
    NotReader {
        /// Collection that was named.
        collection: ids::CollectionName,
        /// Service that was named.
        service: ids::ServiceName,
    },
    /// The catalog has no such index version.
    #[error("version {} of collection {} is not served", .0.version, .0.collection)]
    UnknownVersion(outcome::Snapshot),
    /// The reachable shards do not meet the required coverage.
    #[error("{covered} of {total} shards of version {} can be reached", .snapshot.version)]
    Coverage {
        /// Version with the best coverage.
        snapshot: outcome::Snapshot,
        /// Number of its shards that have a candidate.
        covered: usize,
        /// Number of shards in its shard map.
        total: usize,
    },
}

impl PlanError {
    /// Reason that is reported to the caller.
    pub fn reason(&self) -> outcome::RefusalReason {
        match self {
            Self::NoLease => outcome::RefusalReason::NoLease,
            Self::UnknownCollection(_) | Self::NotReader { .. } => outcome::RefusalReason::Invalid,
            Self::UnknownVersion(_) => outcome::RefusalReason::Unavailable,
            Self::Coverage { .. } => outcome::RefusalReason::Coverage,
        }
    }

    /// Refusal of a search that could not be planned.
    pub fn refusal(&self, search: &plan::Search) -> outcome::Refusal {
        let snapshot = match self {
            Self::Coverage { snapshot, .. } => Some(snapshot.clone()),
            _ => None,
        };
        let retry_after = match self {
            Self::NoLease | Self::Coverage { .. } => Some(ROSTER_RETRY_AFTER),
            _ => None,
        };
        outcome::Refusal {
            request: search.request.clone(),
            reason: self.reason(),
            detail: self.to_string(),
            snapshot,
            deadline: search.deadline,
            retry_after,
            addresses: Vec::new(),
        }
    }
}

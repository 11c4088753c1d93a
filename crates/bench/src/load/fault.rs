//! Ways in which an answer can be wrong.

use fireflyspool::{ids, outcome};

/// Proof that an answer is wrong.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum Fault {
    /// The answer belongs to another request.
    #[error("answer to request {0}")]
    ForeignAnswer(ids::RequestId),
    /// A search was answered like a submission, or the reverse.
    #[error("answer of another form: {0}")]
    WrongForm(&'static str),
    /// The snapshot is not one that the caller may get.
    #[error("unexpected snapshot {0:?}")]
    WrongSnapshot(outcome::Snapshot),
    /// A hit comes from another index version.
    #[error("hit {hit} in an answer of version {version}")]
    MixedVersions {
        /// Hit.
        hit: String,
        /// Version of the answer.
        version: ids::IndexVersion,
    },
    /// A hit does not belong to the request or to a covered shard.
    #[error("foreign hit {0}")]
    ForeignHit(String),
    /// A hit of a covered shard is absent.
    #[error("hit {0} is absent although its shard is said to be covered")]
    AbsentHit(String),
    /// Hits are not best first, or one appears twice.
    #[error("hits are out of order or repeated")]
    Disorder,
    /// The coverage is not the shard map, or contradicts the outcome.
    #[error("false coverage: {0}")]
    FalseCoverage(String),
    /// The receipt is of another request.
    #[error("receipt {0} of another request")]
    ForeignReceipt(String),
}

//! Body of a request to a backend server.

use crate::backend;

/// Request body sent by an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Search of one shard.
    Search(backend::SearchRequest),
    /// Submission; it must run at most once.
    Submit(backend::SubmitRequest),
}

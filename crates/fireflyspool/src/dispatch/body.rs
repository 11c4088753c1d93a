//! Body of a request to a backend server.

use crate::backend;

/// Request that an attempt sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Search of one shard.
    Search(backend::SearchRequest),
    /// Submission that must run at most once.
    Submit(backend::SubmitRequest),
}

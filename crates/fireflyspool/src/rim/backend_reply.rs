//! Decoded reply of a backend server.

use crate::backend;

/// Result of one attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// Reply to a search.
    Searched(backend::SearchReply),
    /// Reply to a submission.
    Submitted(backend::SubmitReply),
    /// Refusal, with its HTTP status (409, 410 or 503).
    Refused(u16, backend::RefusedReply),
    /// The reply is too long, cannot be parsed or has an unexpected status.
    Unreadable,
    /// No complete reply arrived: the connection failed or the attempt timed out.
    Broken {
        /// Whether any part of the request may have been sent.
        sent: bool,
    },
}

//! Reply of a backend server as it came over the wire.

use crate::backend;

/// What came of one attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// A search was answered.
    Searched(backend::SearchReply),
    /// A submission was answered.
    Submitted(backend::SubmitReply),
    /// The attempt was refused, with the HTTP status.
    Refused(u16, backend::RefusedReply),
    /// The reply has another form or status.
    Unreadable,
    /// The connection broke; `sent` tells whether a byte may have left.
    Broken {
        /// Whether a byte may have left.
        sent: bool,
    },
}

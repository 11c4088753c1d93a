//! Failure to get the head of a response.

use crate::rim::forward_connection;

/// Failure of a request, which is returned if it was not sent.
pub(super) struct SendFailure {
    /// The request, if none of it was written.
    pub(super) unsent: Option<http::Request<forward_connection::RequestBody>>,
    pub(super) source: hyper::Error,
}

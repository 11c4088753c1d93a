//! Errors of the client for forwarded requests.

use std::io;

/// Failure to forward a request or to read its response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ForwardError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke")]
    Broken(#[source] hyper::Error),
    /// The response body ended early or the response was too long.
    #[error("the answer is not complete")]
    Truncated(#[source] hyper::Error),
}

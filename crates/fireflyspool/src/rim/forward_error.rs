//! Errors of the client for forwarded requests.

use hyper_util::client::legacy;

/// Failure to forward a request or to read its response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ForwardError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect")]
    Connect(#[source] legacy::Error),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke")]
    Broken(#[source] legacy::Error),
    /// The response body ended early.
    #[error("the answer is not complete")]
    Truncated(#[source] hyper::Error),
}

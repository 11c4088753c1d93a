//! Errors of the client for requests that are passed on.

use hyper_util::client::legacy;

/// Why no answer arrived.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ForwardError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect")]
    Connect(#[source] legacy::Error),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke")]
    Broken(#[source] legacy::Error),
    /// The body of the answer is not complete.
    #[error("the answer is not complete")]
    Truncated(#[source] hyper::Error),
}

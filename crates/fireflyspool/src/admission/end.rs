//! Ends of a request.

/// How a request ended, as far as it matters for the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The request completed within its deadline.
    InTime,
    /// The deadline ended the request.
    Late,
    /// The caller disconnected while the request waited or ran.
    Gone,
}

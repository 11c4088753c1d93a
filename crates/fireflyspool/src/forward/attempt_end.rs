//! How an attempt ended.

use crate::forward;

/// End of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer arrived, successful or not.
    Answered(forward::Answer),
    /// The server refused the request without running it.
    Rejected,
    /// Another server runs at the address; it did not run the request.
    WrongServer,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke, or what arrived belongs to no request; it may have run.
    Broken,
    /// The deadline passed; it may have run.
    TimedOut,
}

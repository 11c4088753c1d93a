//! How an attempt ended.

use std::io;

use crate::forward;

/// End of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response arrived, successful or not.
    Answered(forward::Response),
    /// The server refused the request without running it.
    Rejected,
    /// Another server listens at the address; it did not run the request.
    WrongServer,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or the response does not match the request; the
    /// request may have run.
    Broken,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl AttemptEnd {
    /// End of an attempt whose connection could not be opened; nothing was sent.
    pub fn not_connected(error: &io::Error) -> Self {
        match error.kind() {
            // The server lives, and has as many connections as it accepts.
            io::ErrorKind::ConnectionReset => Self::Rejected,
            _ => Self::Unreachable,
        }
    }
}

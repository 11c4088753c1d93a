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
    /// The server refused the connection, because it has as many as it accepts; nothing was
    /// sent.
    Full,
    /// Another server listens at the address; it did not run the request.
    WrongServer,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or the response does not match the request; the
    /// request may have run.
    Broken,
    /// The connection broke before the whole response had arrived, and the server accepts no
    /// further one: it has ended, and the request may have run.
    Crashed,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl AttemptEnd {
    /// Name in log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Rejected => "rejected",
            Self::Full => "full",
            Self::WrongServer => "wrong_server",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Crashed => "crashed",
            Self::TimedOut => "timed_out",
        }
    }

    /// End of an attempt whose connection could not be opened; nothing was sent.
    pub fn not_connected(error: &io::Error) -> Self {
        match error.kind() {
            // The server lives, and has as many connections as it accepts.
            io::ErrorKind::ConnectionReset => Self::Full,
            _ => Self::Unreachable,
        }
    }
}

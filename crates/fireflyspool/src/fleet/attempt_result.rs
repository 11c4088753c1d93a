//! Result of an attempt, for the statistics of its backend server.

use std::time;

/// How a backend server handled an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The server responded.
    Answered {
        /// Time from the send to the response.
        elapsed: time::Duration,
    },
    /// The server may have run the request and failed, or its response was unusable.
    Failed,
    /// The server refused the request without running it.
    Rejected,
    /// The server refused the connection, because it has as many as it accepts.
    Full,
    /// No server listens at the address, or another one does.
    Unreachable,
    /// The attempt was abandoned before a response.
    Abandoned {
        /// Time from the send until it was abandoned.
        elapsed: time::Duration,
    },
}

//! Ends of an attempt, as far as they tell something about the server.

use std::time;

/// What an attempt showed about its backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// It answered.
    Answered {
        /// Time to the answer.
        elapsed: time::Duration,
    },
    /// It ran the request and failed, or its answer was unusable.
    Failed,
    /// It refused the request without running it.
    Rejected,
    /// Another server answers at its address, or none.
    Unreachable,
    /// The attempt was given up without an answer.
    Abandoned {
        /// Time that it had.
        elapsed: time::Duration,
    },
}

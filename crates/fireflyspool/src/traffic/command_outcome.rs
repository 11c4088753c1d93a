//! Result of an operator's statement.

use crate::{control, state};

/// Outcome of a command or `show` statement.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The command was decided.
    Decided {
        /// The decision; the same for every resend.
        receipt: state::Receipt,
        /// Whether every entry VM applies it; false if the request did not wait for that.
        in_force: bool,
    },
    /// A `show` statement was answered.
    Shown {
        /// Table of the answer.
        table: control::Table,
    },
    /// The statement is not valid; nothing happened.
    Invalid {
        /// Column of the error and what was expected there.
        detail: String,
    },
    /// No leader could be reached; nothing happened.
    NotRun {
        /// Reason for the operator.
        detail: String,
    },
    /// The command may have been accepted; it must be resent with the same number.
    Unknown {
        /// Advice for the operator.
        detail: String,
    },
}

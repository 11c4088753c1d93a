//! What an operator is told.

use crate::{control, state};

/// End of a command.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The command is decided; the receipt says how.
    Decided {
        /// Receipt, the same for every resend.
        receipt: state::Receipt,
        /// Whether every entry VM acts on it; false if that was not waited for.
        in_force: bool,
    },
    /// A `show` statement was answered.
    Shown {
        /// Table of the answer.
        table: control::Table,
    },
    /// The statement is not valid; nothing happened.
    Invalid {
        /// Column and expectation.
        detail: String,
    },
    /// No leader could be reached; nothing happened.
    NotRun {
        /// What was tried.
        detail: String,
    },
    /// The command may be accepted; send it again with the same number.
    Unknown {
        /// What is known.
        detail: String,
    },
}

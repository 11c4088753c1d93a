//! Exit codes of the binary.

use std::process;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Succeeded; for a query: the answer is complete.
    Success = 0,
    /// The run failed, for the reason on standard error.
    Failure = 1,
    /// The command line, the settings or the statement is invalid.
    Usage = 2,
    /// Refused, and nothing ran; for a command: refused by the catalog.
    NotRun = 3,
    /// The answer lacks some shards.
    Partial = 4,
    /// The outcome is unknown; the request may have run.
    Unknown = 5,
    /// Another operator's command was applied first, or the number was used for
    /// a different command.
    Conflict = 6,
    /// A shutdown aborted running requests.
    Aborted = 7,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

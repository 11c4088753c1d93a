//! Exit codes of the binary.

use std::process;

/// How a run of the binary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done; for a query: answered completely.
    Success = 0,
    /// The run failed, for the reason on standard error.
    Failure = 1,
    /// The command line, the settings or the statement is not valid.
    Usage = 2,
    /// Refused, and nothing ran; for a command: refused by the catalog.
    NotRun = 3,
    /// Answered with shards missing.
    Partial = 4,
    /// The outcome is unknown; the request may have run.
    Unknown = 5,
    /// Another operator's command came first, or the number was used for other content.
    Conflict = 6,
    /// A shutdown cut requests short.
    Cut = 7,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

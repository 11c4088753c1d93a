//! Log level of a process.

/// Lowest severity that is written to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub enum LogLevel {
    /// Warnings and errors only.
    Warning,
    /// Also decisions and life cycle events.
    #[default]
    Info,
    /// Also debug lines.
    Debug,
}

impl LogLevel {
    pub(super) fn severity(self) -> slog::Level {
        match self {
            Self::Warning => slog::Level::Warning,
            Self::Info => slog::Level::Info,
            Self::Debug => slog::Level::Debug,
        }
    }
}

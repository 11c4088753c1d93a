//! Level of logging.

/// Least severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub enum LogLevel {
    /// Only what needs attention.
    Warning,
    /// Decisions and life cycle.
    #[default]
    Info,
    /// Everything.
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

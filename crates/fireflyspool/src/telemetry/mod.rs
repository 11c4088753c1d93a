//! Logs and metrics.
//!
//! Logs are JSON lines on standard output, written from a bounded queue by
//! a dedicated thread. A full queue drops lines and counts them: a slow
//! reader of the log must not slow down queries.

mod label;
mod log_level;
mod logger;
mod metrics;

pub use label::Label;
pub use log_level::LogLevel;
pub use logger::{DroppedLines, start_logger};
pub use metrics::Metrics;

//! Logger of a process.

use std::net;

use crate::node::numbering;
use crate::telemetry;

/// Log lines that may wait for the writer.
const QUEUE: usize = 4_096;

/// Starts the logger of the VM with that listener.
pub fn start_logger(
    listener: net::SocketAddr,
) -> (
    slog::Logger,
    slog_async::AsyncGuard,
    telemetry::DroppedLines,
) {
    let number = numbering::number_of(listener, 0);
    telemetry::start_logger(number, telemetry::LogLevel::Info, QUEUE)
}

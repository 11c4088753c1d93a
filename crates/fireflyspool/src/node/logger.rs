//! Logger of a process.

use std::net;

use crate::node::node_id;
use crate::telemetry;

/// Maximum number of log lines that wait for the writer; more are dropped.
const QUEUE_LINES: usize = 4_096;

/// Starts the logger of the VM with that listener, which its lines name by node id.
pub fn start_logger(
    listener: net::SocketAddr,
) -> (
    slog::Logger,
    slog_async::AsyncGuard,
    telemetry::DroppedLines,
) {
    let node = node_id::encode(listener, 0);
    telemetry::start_logger(node, telemetry::LogLevel::Info, QUEUE_LINES)
}

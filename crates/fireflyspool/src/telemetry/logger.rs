//! Asynchronous JSON logger with a bounded queue.

use std::{
    io,
    sync::{self, atomic},
};

use slog::Drain;

use crate::{ids, telemetry};

/// Number of log lines that were dropped because the queue was full.
pub type DroppedLines = sync::Arc<atomic::AtomicU64>;

/// Passes records to the queue and counts those that it rejects.
struct CountingDrain {
    queue: slog_async::AsyncCore,
    dropped: DroppedLines,
}

impl slog::Drain for CountingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        if self.queue.log(record, values).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Starts the logger of a process with room for `capacity` queued lines.
///
/// The returned guard flushes the queued lines when it is dropped.
pub fn start_logger(
    node: ids::NodeId,
    level: telemetry::LogLevel,
    capacity: usize,
) -> (slog::Logger, slog_async::AsyncGuard, DroppedLines) {
    let json = slog_json::Json::new(io::stdout())
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(slog::o!(
            "time" => slog::PushFnValue(|_: &slog::Record<'_>, serializer| {
                let now = std::time::SystemTime::now();
                serializer.emit(humantime::format_rfc3339_millis(now).to_string())
            }),
            "level" => slog::FnValue(|record: &slog::Record<'_>| {
                record.level().as_str().to_ascii_lowercase()
            }),
            "message" => slog::PushFnValue(|record: &slog::Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build()
        .fuse();
    let json = slog::LevelFilter::new(json, level.severity()).fuse();
    let (queue, guard) = slog_async::AsyncCore::custom(json)
        .chan_size(capacity)
        .build_with_guard();
    let dropped = DroppedLines::default();
    let counting = CountingDrain {
        queue,
        dropped: sync::Arc::clone(&dropped),
    };
    let filtered = slog::LevelFilter::new(counting, level.severity()).fuse();
    (
        slog::Logger::root(filtered, slog::o!("node" => node)),
        guard,
        dropped,
    )
}

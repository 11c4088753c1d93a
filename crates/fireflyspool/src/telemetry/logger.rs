//! The asynchronous logger.

use std::{
    io,
    sync::{self, atomic},
};

use slog::Drain;

use crate::{ids, telemetry};

/// Number of log lines that were dropped because the queue was full.
pub type DroppedLines = sync::Arc<atomic::AtomicU64>;

struct Counted {
    inner: slog_async::AsyncCore,
    dropped: DroppedLines,
}

impl slog::Drain for Counted {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        if self.inner.log(record, values).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Starts the logger of a process.
///
/// The returned guard flushes waiting lines when it is dropped.
pub fn start_logger(
    node: ids::NodeId,
    level: telemetry::LogLevel,
    queue: usize,
) -> (slog::Logger, slog_async::AsyncGuard, DroppedLines) {
    let lines = slog_json::Json::new(io::stdout())
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
    let lines = slog::LevelFilter::new(lines, level.severity()).fuse();
    let (inner, guard) = slog_async::AsyncCore::custom(lines)
        .chan_size(queue)
        .build_with_guard();
    let dropped = DroppedLines::default();
    let counted = Counted {
        inner,
        dropped: sync::Arc::clone(&dropped),
    };
    let filtered = slog::LevelFilter::new(counted, level.severity()).fuse();
    (
        slog::Logger::root(filtered, slog::o!("node" => node)),
        guard,
        dropped,
    )
}

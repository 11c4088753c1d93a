//! Fake backend server.

use std::time;

use crate::server_mode;

/// State of a backend server and of the driver's client for it.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) name: String,
    pub(crate) mode: server_mode::ServerMode,
    /// Incarnation of the current process.
    pub(crate) process: u64,
    /// Attempts that the current process runs.
    pub(crate) running: Vec<u64>,
    /// Connections of the driver, preconnects in progress included.
    pub(crate) connections: u32,
    /// Connections that carry an attempt or a cancellation.
    pub(crate) used: u32,
    /// Preconnects in progress.
    pub(crate) opening: u32,
    /// End of the backoff that it asked for.
    pub(crate) backoff_until: Option<time::Instant>,
    /// Whether it refused an attempt with 410, because it leaves.
    pub(crate) replied_gone: bool,
    /// Whether it refused a shard as not hosted since its latest announcement.
    pub(crate) not_hosted: bool,
    /// Whether the dispatcher may still be releasing it.
    pub(crate) releasing: bool,
    /// Whether it was released and not assigned again.
    pub(crate) released: bool,
    /// Correct answers in time since slow start last began.
    pub(crate) timely_answers: u32,
    /// Time of the latest such answer.
    pub(crate) last_timely: Option<time::Instant>,
    /// Permits that the view allows.
    pub(crate) slots: u32,
}

impl FakeServer {
    pub(crate) fn new(name: String, slots: u32) -> Self {
        Self {
            name,
            mode: server_mode::ServerMode::Normal,
            process: 1,
            running: Vec::new(),
            connections: 0,
            used: 0,
            opening: 0,
            backoff_until: None,
            replied_gone: false,
            not_hosted: false,
            releasing: false,
            released: false,
            timely_answers: 0,
            last_timely: None,
            slots,
        }
    }

    /// Resets the expected slow start, because the server looks cold to the dispatcher.
    pub(crate) fn reset_slow_start(&mut self) {
        self.timely_answers = 0;
        self.last_timely = None;
    }

    /// Takes an idle connection or a new one.
    pub(crate) fn connect(&mut self) {
        if self.used + self.opening >= self.connections {
            self.connections += 1;
        }
        self.used += 1;
    }

    /// Frees a connection, which closes if it is not reusable.
    pub(crate) fn disconnect(&mut self, reusable: bool) {
        self.used = self.used.saturating_sub(1);
        if !reusable {
            self.connections = self.connections.saturating_sub(1);
        }
    }
}

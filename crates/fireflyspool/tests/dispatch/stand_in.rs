//! Stand-in of a backend server.

use std::time;

use crate::mode;

/// True state of a backend server and of the driver's client for it.
#[derive(Debug)]
pub(crate) struct StandIn {
    pub(crate) name: String,
    pub(crate) mode: mode::Mode,
    /// Incarnation of the process that runs now.
    pub(crate) process: u64,
    /// Attempts that the process runs.
    pub(crate) running: Vec<u64>,
    /// Connections of the driver, those being opened included.
    pub(crate) connections: u32,
    /// Connections that carry something.
    pub(crate) used: u32,
    /// Connections being opened ahead of need.
    pub(crate) opening: u32,
    /// End of the rest that it asked for.
    pub(crate) rest_until: Option<time::Instant>,
    /// Whether it said that it leaves.
    pub(crate) said_leaving: bool,
    /// Whether it denied hosting a shard since its latest announcement.
    pub(crate) denied: bool,
    /// Whether the dispatcher may still be busy giving it up.
    pub(crate) given_up: bool,
    /// Whether it was released and not assigned anew.
    pub(crate) released: bool,
    /// Correct answers in time since it last looked cold.
    pub(crate) proved: u32,
    /// Time of the latest such answer.
    pub(crate) last_proof: Option<time::Instant>,
    /// Permits that the view allows.
    pub(crate) slots: u32,
}

impl StandIn {
    pub(crate) fn new(name: String, slots: u32) -> Self {
        Self {
            name,
            mode: mode::Mode::Normal,
            process: 1,
            running: Vec::new(),
            connections: 0,
            used: 0,
            opening: 0,
            rest_until: None,
            said_leaving: false,
            denied: false,
            given_up: false,
            released: false,
            proved: 0,
            last_proof: None,
            slots,
        }
    }

    /// It looks cold, so slow start begins again.
    pub(crate) fn look_cold(&mut self) {
        self.proved = 0;
        self.last_proof = None;
    }

    /// Takes an idle connection or a new one.
    pub(crate) fn connect(&mut self) {
        if self.used + self.opening >= self.connections {
            self.connections += 1;
        }
        self.used += 1;
    }

    /// Returns a connection, which stays open or closes.
    pub(crate) fn disconnect(&mut self, keeps: bool) {
        self.used = self.used.saturating_sub(1);
        if !keeps {
            self.connections = self.connections.saturating_sub(1);
        }
    }
}

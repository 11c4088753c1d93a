//! A backend server as the control VMs report it.

use std::time;

use crate::registry;

/// Latest record of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownServer {
    /// The record; its ages count from when this VM received it.
    pub record: registry::Record,
    /// When its warm-up ends.
    pub cold_until: time::Instant,
    /// Time of its last heartbeat that this VM knows of.
    pub last_heartbeat: time::Instant,
}

impl KnownServer {
    /// Converts the ages of a record that is received at `now`.
    pub fn new(record: registry::Record, now: time::Instant) -> Self {
        let age = time::Duration::from_millis(record.age_ms);
        Self {
            cold_until: now + time::Duration::from_millis(record.cold_ms),
            last_heartbeat: now.checked_sub(age).unwrap_or(now),
            record,
        }
    }

    /// Whether another record of the server is at least as new and so replaces this one.
    pub fn is_superseded_by(&self, record: &registry::Record) -> bool {
        let own = &self.record;
        let order = |record: &registry::Record| (record.born, record.phase, record.sequence);
        order(record) >= order(own)
    }
}

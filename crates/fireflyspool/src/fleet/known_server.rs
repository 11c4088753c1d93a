//! A backend server, as control VMs report it.

use std::time;

use crate::registry;

/// Latest record of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownServer {
    /// The record; its ages are of the time of receipt.
    pub record: registry::Record,
    /// When it stops being cold.
    pub cold_until: time::Instant,
    /// When it was last heard, as far as this VM knows.
    pub heard: time::Instant,
}

impl KnownServer {
    /// A record that arrives now.
    pub fn new(record: registry::Record, now: time::Instant) -> Self {
        let age = time::Duration::from_millis(record.age_ms);
        Self {
            cold_until: now + time::Duration::from_millis(record.cold_ms),
            heard: now.checked_sub(age).unwrap_or(now),
            record,
        }
    }

    /// Whether another record is at least as new.
    pub fn yields_to(&self, record: &registry::Record) -> bool {
        let own = &self.record;
        let order = |record: &registry::Record| (record.born, record.phase, record.sequence);
        order(record) >= order(own)
    }
}

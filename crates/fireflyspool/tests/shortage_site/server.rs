//! Backend server with slots, a queue and disturbances.

use std::collections;

use fireflyspool::backend;

/// Slots of each server.
const SLOTS: usize = 4;

/// Backend server; attempts are known by their position.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) zone: usize,
    /// Whether it belongs to the fifth that becomes slow, and to the share that rejects.
    pub(crate) slows: bool,
    pub(crate) rejects: bool,
    pub(crate) running: usize,
    pub(crate) queue: collections::VecDeque<usize>,
}

impl Server {
    /// Takes an attempt; returns whether it starts at once.
    pub(crate) fn take(&mut self, attempt: usize) -> bool {
        let starts = self.running < SLOTS;
        match starts {
            true => self.running += 1,
            false => self.queue.push_back(attempt),
        }
        starts
    }

    /// Ends an attempt; returns the next one to start.
    pub(crate) fn end(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        self.running -= usize::from(next.is_none());
        next
    }

    pub(crate) fn condition(&self) -> backend::Condition {
        backend::Condition {
            load: Some(backend::Load {
                running: self.running as u32,
                queued: self.queue.len() as u32,
            }),
            ..backend::Condition::default()
        }
    }
}

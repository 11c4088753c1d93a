//! Identical reads that share one execution.

use std::{sync, time};

use tokio::sync::oneshot;

use crate::{admission, ids, outcome, plan, sorted};

/// Reads in flight on one entry VM.
///
/// The lock is never held across an await point.
#[derive(Default)]
pub struct SharedReads {
    table: sync::Mutex<Table>,
}

#[derive(Default)]
struct Table {
    reads: admission::ReadCoalescer,
    waiting: sorted::SortedMap<ids::Ticket, oneshot::Sender<admission::Release>>,
}

impl SharedReads {
    /// Adds a read; returns the channel for its outcome if it follows an identical read.
    pub fn join(
        &self,
        search: &plan::Search,
        plan: &plan::Plan,
        ticket: ids::Ticket,
        received: time::Instant,
    ) -> Option<oneshot::Receiver<admission::Release>> {
        let key = admission::ReadKey::new(search, plan);
        let reader = admission::Reader::new(ticket, search, received);
        let mut table = self.lock();
        match table.reads.join(key, reader) {
            admission::Join::Lead => None,
            admission::Join::Follow { .. } => {
                let (sender, receiver) = oneshot::channel();
                table.waiting.insert(ticket, sender);
                Some(receiver)
            }
        }
    }

    /// Passes the outcome of a leading read on to those that follow it.
    pub fn finish(&self, leader: ids::Ticket, outcome: &outcome::Outcome) {
        let mut table = self.lock();
        let releases = table.reads.finished(leader, outcome, time::Instant::now());
        for release in releases {
            let (admission::Release::Answered { ticket, .. } | admission::Release::Lead { ticket }) =
                release;
            if let Some(sender) = table.waiting.remove(&ticket) {
                // Followers keep their receiver until the outcome arrives.
                let _ = sender.send(release);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Table> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

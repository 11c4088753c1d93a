//! Backend server of the virtual-time measurement.

use std::collections;

use fireflyspool::ids;

/// Requests that a server runs at a time.
pub(crate) const SLOTS: usize = 2;

/// Sub-request at a server, with the query that sent it.
pub(crate) type Job = (usize, ids::SubRequestId);

/// Runs what waits in the order hedge, arrival.
#[derive(Default)]
pub(crate) struct Server {
    running: Vec<Job>,
    hedges: collections::VecDeque<Job>,
    firsts: collections::VecDeque<Job>,
}

impl Server {
    pub(crate) fn push(&mut self, job: Job, hedge: bool) {
        if hedge {
            self.hedges.push_back(job);
        } else {
            self.firsts.push_back(job);
        }
    }

    /// Starts the next job if a slot is free.
    pub(crate) fn start(&mut self) -> Option<Job> {
        if self.running.len() >= SLOTS {
            return None;
        }
        let next = self.hedges.pop_front();
        let next = next.or_else(|| self.firsts.pop_front())?;
        self.running.push(next);
        Some(next)
    }

    /// Removes a job that ended or was cancelled; false if it did not run.
    pub(crate) fn remove(&mut self, job: Job) -> bool {
        self.hedges.retain(|waiting| *waiting != job);
        self.firsts.retain(|waiting| *waiting != job);
        let before = self.running.len();
        self.running.retain(|running| *running != job);
        self.running.len() < before
    }

    pub(crate) fn waiting(&self) -> u32 {
        (self.hedges.len() + self.firsts.len()) as u32
    }
}

//! Backend server of the virtual-time measurement.

use std::collections;

use fireflyspool::ids;

/// Requests that a server runs at the same time.
pub(crate) const SLOTS: usize = 2;

/// Position of the query that sent a sub-request, and the number of the sub-request.
pub(crate) type Job = (usize, ids::SubRequestId);

/// Server that runs waiting hedges first, then other requests in the order of arrival.
#[derive(Default)]
pub(crate) struct Server {
    running: Vec<Job>,
    hedges: collections::VecDeque<Job>,
    others: collections::VecDeque<Job>,
}

impl Server {
    pub(crate) fn push(&mut self, job: Job, hedge: bool) {
        if hedge {
            self.hedges.push_back(job);
        } else {
            self.others.push_back(job);
        }
    }

    /// Starts the next job if a slot is free.
    pub(crate) fn start(&mut self) -> Option<Job> {
        if self.running.len() >= SLOTS {
            return None;
        }
        let next = self.hedges.pop_front();
        let next = next.or_else(|| self.others.pop_front())?;
        self.running.push(next);
        Some(next)
    }

    /// Removes a job that ended or was cancelled; false if it did not run.
    pub(crate) fn remove(&mut self, job: Job) -> bool {
        self.hedges.retain(|waiting| *waiting != job);
        self.others.retain(|waiting| *waiting != job);
        let before = self.running.len();
        self.running.retain(|running| *running != job);
        self.running.len() < before
    }

    pub(crate) fn waiting(&self) -> u32 {
        (self.hedges.len() + self.others.len()) as u32
    }
}

//! Backend server with its slots, queue and connections.

use std::collections;

use fireflyspool::backend;

pub(crate) const SLOTS: usize = 4;

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) connections: usize,
    pub(crate) running: usize,
    pub(crate) queue: collections::VecDeque<usize>,
}

impl Server {
    /// What it states about itself; with its pace if there is one.
    pub(crate) fn condition(&self, pace: Option<f64>) -> backend::Condition {
        let load = backend::Load {
            running: self.running as u32,
            queued: self.queue.len() as u32,
        };
        let pace = pace.map(|pace| backend::Pace {
            slots: SLOTS as u32,
            percent: (pace * 100.0) as u32,
        });
        backend::Condition {
            load: Some(load),
            pace,
            ..backend::Condition::default()
        }
    }
}

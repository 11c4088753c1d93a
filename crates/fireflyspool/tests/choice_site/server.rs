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
    pub(crate) fn new(_index: usize) -> Self {
        Self::default()
    }

    pub(crate) fn load(&self, _pace: Option<f64>) -> backend::Load {
        backend::Load {
            running: self.running as u32,
            queued: self.queue.len() as u32,
        }
    }
}

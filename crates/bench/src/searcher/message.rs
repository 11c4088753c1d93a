//! What reaches a driver.

use tokio::sync::oneshot;

use crate::searcher;

/// Event with the place where its answer goes.
#[derive(Debug)]
pub struct Message {
    /// Event.
    pub event: searcher::Event,
    /// Place for the answer to the event's ticket.
    pub answer: Option<oneshot::Sender<searcher::Verdict>>,
}

//! Access to a driver from other tasks.

use std::sync::{self, atomic};

use fireflyspool::ids;
use tokio::sync::{mpsc, oneshot};

use crate::searcher;

/// Sends events to the driver of one searcher; clones share the mailbox.
#[derive(Clone, Debug)]
pub struct Handle {
    mailbox: mpsc::Sender<searcher::Message>,
    tickets: sync::Arc<atomic::AtomicU64>,
}

impl Handle {
    /// Wraps the sending end of a driver's mailbox.
    pub fn new(mailbox: mpsc::Sender<searcher::Message>) -> Self {
        Self {
            mailbox,
            tickets: sync::Arc::default(),
        }
    }

    /// Sends an event that carries a ticket and waits for its answer.
    ///
    /// Returns nothing if the searcher abandons the request or has ended.
    pub async fn ask(
        &self,
        event: impl FnOnce(ids::Ticket) -> searcher::Event,
    ) -> Option<searcher::Verdict> {
        let ticket = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let message = searcher::Message {
            event: event(ticket),
            answer: Some(sender),
        };
        self.mailbox.send(message).await.ok()?;
        receiver.await.ok()
    }

    /// Sends an event without an answer; returns whether the searcher still runs.
    pub async fn tell(&self, event: searcher::Event) -> bool {
        let message = searcher::Message {
            event,
            answer: None,
        };
        self.mailbox.send(message).await.is_ok()
    }
}

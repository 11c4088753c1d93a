//! Queue of events for the control thread.

use std::sync::mpsc;

use crate::control;

/// Most queued events; beyond that, senders get an error and try again later.
const MAX_QUEUED_EVENTS: usize = 8_192;

/// Sending side of the control thread's queue.
#[derive(Clone)]
pub struct Mailbox {
    sender: mpsc::SyncSender<control::Event>,
}

impl Mailbox {
    /// Creates the queue; the control thread gets the receiver.
    pub fn new() -> (Self, mpsc::Receiver<control::Event>) {
        let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_EVENTS);
        (Self { sender }, receiver)
    }

    /// Queues an event without blocking.
    ///
    /// # Errors
    ///
    /// Returns [`control::MailboxError`] if the queue is full or the thread has ended.
    pub fn send(&self, event: control::Event) -> Result<(), control::MailboxError> {
        self.sender
            .try_send(event)
            .map_err(|_| control::MailboxError)
    }
}

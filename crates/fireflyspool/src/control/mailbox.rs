//! Queue in front of the control thread.

use std::sync::mpsc;

use crate::control;

/// Events that may wait; beyond this senders are refused and try again later.
const CAPACITY: usize = 8_192;

/// Sending side of the control thread's queue.
#[derive(Clone)]
pub struct Mailbox {
    sender: mpsc::SyncSender<control::Event>,
}

impl Mailbox {
    /// A mailbox and the receiving side for the control thread.
    pub fn new() -> (Self, mpsc::Receiver<control::Event>) {
        let (sender, receiver) = mpsc::sync_channel(CAPACITY);
        (Self { sender }, receiver)
    }

    /// Sends an event without waiting.
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

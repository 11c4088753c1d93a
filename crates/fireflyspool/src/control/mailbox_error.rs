//! Error of sending to the mailbox.

/// The control thread has ended or its queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the mailbox of the control thread is full or closed")]
pub struct MailboxError;

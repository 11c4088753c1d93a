//! Error of a mailbox that takes no events.

/// The control thread has ended or its queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the control thread takes no events")]
pub struct MailboxError;

//! Errors that end the control thread.

use crate::{state, storage};

/// Why the control thread ended by itself.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ControlError {
    /// What must be durable could not be written.
    #[error("the data folder failed; this VM stops taking part in the control group")]
    Storage(#[from] storage::StorageError),
    /// A committed entry or a snapshot cannot be read.
    #[error("the replicated state cannot be read; is this release older than the others?")]
    Decode(#[from] state::DecodeError),
}

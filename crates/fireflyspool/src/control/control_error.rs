//! Errors of the replica on the control thread.

use crate::{state, storage};

/// Error of the data folder or the replicated state; ends the control thread unless it
/// can reopen the folder.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ControlError {
    /// The data folder could not be read or written.
    #[error("the data folder failed; the replica of this VM stops")]
    Storage(#[from] storage::StorageError),
    /// A committed entry or a snapshot cannot be decoded, as after a downgrade.
    #[error("the replicated state cannot be read; is this release older than the others?")]
    Decode(#[from] state::DecodeError),
}

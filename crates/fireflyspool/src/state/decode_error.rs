//! Failure to read a snapshot of the control state.

/// Why a snapshot cannot be restored.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the snapshot of the control state is not valid")]
pub struct DecodeError(#[from] serde_json::Error);

//! Candidate that was not chosen.

use crate::{gather, ids};

/// Candidate owner that was not chosen, with the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct PassedOver {
    /// Entry VM that was a candidate.
    pub owner: ids::NodeId,
    /// Why another one was chosen.
    pub cause: gather::PassCause,
}

//! Part with an answer.

use crate::forward;

/// State of an answered part.
#[derive(Debug)]
pub struct Filled {
    /// The answer.
    pub(super) answer: forward::Answer,
}

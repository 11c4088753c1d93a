//! What a caller saw of one request.

use std::time;

use crate::load;

/// Result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Request.
    pub request: load::Request,
    /// Time from the intended start to the end.
    pub latency: time::Duration,
    /// End.
    pub ending: load::Ending,
    /// Times that the caller turned to another address.
    pub resends: u32,
}

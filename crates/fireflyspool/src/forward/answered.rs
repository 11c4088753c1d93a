//! Sub-request with a response.

use crate::forward;

/// State of a sub-request that got a successful response.
#[derive(Debug)]
pub struct Answered {
    pub(super) response: forward::Response,
}

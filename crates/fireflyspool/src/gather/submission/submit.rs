//! Submission as requested by a caller.

use std::time;

use crate::{ids, outcome};

/// Non-idempotent request, which must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit {
    /// Identifier that the caller gave to the request.
    pub request: ids::RequestId,
    /// Service whose backend servers may run it.
    pub service: ids::ServiceName,
    /// Priority class.
    pub kind: outcome::Kind,
    /// Content for the backend server, passed on unchanged.
    pub payload: String,
    /// Time from receipt within which the caller needs the outcome.
    pub deadline: time::Duration,
}

//! Request of a caller.

use std::time;

use crate::ids;

/// What decisions need to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier that the caller gave.
    pub id: ids::RequestId,
    /// Host.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
}

//! Request of a caller.

use std::time;

use crate::ids;

/// Properties of a request that routing and deadlines depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier that the caller gave.
    pub id: ids::RequestId,
    /// Host as the caller spelled it, with a port if there was one.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// How long the caller waits; `None` if it did not say.
    pub timeout: Option<time::Duration>,
}

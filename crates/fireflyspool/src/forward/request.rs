//! Request of a caller.

use std::time;

use crate::{forward, ids};

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

impl Request {
    /// Request behind a group that another entry VM has delegated; its host and path are not
    /// known.
    pub fn of_group(id: &str, group: &forward::Group, now: time::Instant) -> Self {
        Self {
            id: id.to_owned(),
            host: String::new(),
            path: String::new(),
            timeout: Some(group.deadline.saturating_duration_since(now)),
        }
    }
}

//! Request of a caller.

use std::{sync, time};

use crate::{access, configuration, forward, ids};

/// Properties of a request that routing and deadlines depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier that the caller gave.
    pub id: ids::RequestId,
    /// Host as the caller spelled it, with a port if there was one.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// How long the caller waits; `None` if it did not say.
    pub timeout: Option<time::Duration>,
    /// Credentials as the caller sent them.
    pub credentials: access::Credentials,
    /// Permission to run; `None` before the request is authorized and where it needs no key.
    pub grant: Option<access::Grant>,
}

impl Request {
    /// Client account that the request runs for.
    pub fn account(&self) -> Option<&sync::Arc<configuration::Account>> {
        self.grant.as_ref().map(access::Grant::account)
    }

    /// Request behind a group that another entry VM has delegated; its host and path are not
    /// known.
    pub fn of_group(id: &str, group: &forward::Group, now: time::Instant) -> Self {
        Self {
            id: id.to_owned(),
            host: String::new(),
            path: String::new(),
            timeout: Some(group.deadline.saturating_duration_since(now)),
            credentials: access::Credentials::default(),
            // The VM that delegated the group has authorized the request.
            grant: None,
        }
    }
}

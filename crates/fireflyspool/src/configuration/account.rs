//! Client account of a configuration.

use crate::{configuration, ids};

/// Client account whose callers identify themselves by a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, under which backend servers know the account.
    pub name: ids::AccountName,
    /// Digests of its keys.
    pub keys: Vec<configuration::KeyDigest>,
    /// Priority that goes before that of the route; `None` leaves the route's.
    pub priority: Option<u32>,
    /// Requests per second over all entry VMs; 0 means no limit.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

impl Account {
    /// Priority of its requests on a route.
    pub fn priority_on(&self, route: &configuration::Route) -> u32 {
        self.priority.unwrap_or(route.priority)
    }

    /// Whether the account has a quota.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }
}

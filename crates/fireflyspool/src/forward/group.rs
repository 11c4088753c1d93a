//! Shards that another entry VM gathers.

use std::time;

use crate::{configuration, ids};

/// Part of a query over many shards, for the entry VM to which it is delegated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Name of the route, to which latencies and log lines refer.
    pub route: String,
    /// Latency objective of the route.
    pub objective: time::Duration,
    /// When the answer is due, although shards may be missing.
    pub cutoff: time::Instant,
    /// When attempts time out.
    pub deadline: time::Instant,
    /// Content of the request.
    pub content: ids::Fingerprint,
    /// Most records in the answer; the greatest ones are kept.
    pub top_k: usize,
    /// One service for each shard.
    pub services: Vec<ids::ServiceName>,
}

impl Group {
    /// Route by which the group is gathered: one attempt for each shard, and any number of
    /// shards in the answer.
    pub fn route(&self) -> configuration::Route {
        let gather = configuration::Gather {
            shards: self.services.clone(),
            top_k: self.top_k,
            coverage: 0.0,
        };
        configuration::Route {
            open: true,
            name: self.route.clone(),
            host: String::new(),
            prefix: "/".to_owned(),
            idempotent: true,
            timeout: self.objective,
            objective: self.objective,
            priority: 0,
            max_attempts: 1,
            target: configuration::Target::Gather(gather),
        }
    }
}

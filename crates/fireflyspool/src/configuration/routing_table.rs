//! Lookup of routes.

use std::sync;

use crate::{configuration, ids, sorted};

/// Configuration indexed by host and path prefix.
#[derive(Debug)]
pub struct RoutingTable {
    version: ids::ConfigVersion,
    limits: configuration::CallerLimits,
    accounts: configuration::Accounts,
    services: sorted::SortedMap<ids::ServiceName, configuration::Service>,
    /// Distinct priorities of the routes, ascending.
    priorities: Vec<u32>,
    /// Routes by host, longest prefix first.
    hosts: sorted::SortedMap<String, Vec<sync::Arc<configuration::Route>>>,
}

impl RoutingTable {
    /// Indexes a configuration that was validated.
    pub fn new(configuration: configuration::Configuration) -> Self {
        let mut priorities: Vec<u32> = configuration
            .routes
            .iter()
            .map(|route| route.priority)
            .collect();
        priorities.sort_unstable();
        priorities.dedup();
        let mut hosts = sorted::SortedMap::<String, Vec<_>>::new();
        for route in configuration.routes {
            hosts
                .get_or_insert_with(route.host.clone(), Vec::new)
                .push(sync::Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version: configuration.version,
            limits: configuration.limits,
            accounts: configuration::Accounts::new(configuration.accounts),
            services: configuration.services,
            priorities,
            hosts,
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ids::ConfigVersion {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> &configuration::CallerLimits {
        &self.limits
    }

    /// Client accounts by key; empty if requests need none.
    pub fn accounts(&self) -> &configuration::Accounts {
        &self.accounts
    }

    /// Distinct priorities of the routes, ascending.
    pub fn priorities(&self) -> &[u32] {
        &self.priorities
    }

    /// Service of this name, if it is defined.
    pub fn service(&self, service: &str) -> Option<&configuration::Service> {
        self.services.get(service)
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ids::ServiceName, &configuration::Service)> {
        self.services.iter()
    }

    /// Finds the route of the host with the longest prefix of the path.
    ///
    /// A port in the host is ignored, and so is its case.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<configuration::Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

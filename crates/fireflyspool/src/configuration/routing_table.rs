//! Index of the routes.

use std::sync;

use crate::{configuration, ids, sorted};

/// Routes of one configuration by host and prefix.
#[derive(Debug)]
pub struct RoutingTable {
    version: ids::ConfigVersion,
    limits: configuration::CallerLimits,
    services: sorted::SortedMap<ids::ServiceName, configuration::Service>,
    /// Routes of each host, longest prefix first.
    hosts: sorted::SortedMap<String, Vec<sync::Arc<configuration::Route>>>,
}

impl RoutingTable {
    /// Indexes a valid configuration.
    pub fn new(configuration: configuration::Configuration) -> Self {
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
            services: configuration.services,
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

    /// A service by name.
    pub fn service(&self, service: &str) -> Option<&configuration::Service> {
        self.services.get(service)
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ids::ServiceName, &configuration::Service)> {
        self.services.iter()
    }

    /// Route with the longest prefix that begins the path.
    ///
    /// The host may carry a port and is compared without case.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<configuration::Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

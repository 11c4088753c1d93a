//! Wire format of a configuration.

use std::time;

use crate::platform::{account_wire, limits_wire, route_wire, service_wire};
use crate::{configuration, ids};

/// Complete configuration as an operator sends it.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ConfigurationWire {
    version: ids::ConfigVersion,
    routes: Vec<route_wire::RouteWire>,
    /// Services, which the wire calls backends.
    #[serde(rename = "Backends")]
    services: Vec<service_wire::ServiceWire>,
    /// Client accounts, which the wire calls tenants.
    #[serde(rename = "Tenants", default)]
    accounts: Option<Vec<serde_json::Value>>,
    #[serde(default)]
    limits: Option<limits_wire::LimitsWire>,
}

/// Limit of connections to a backend server whose service sets none.
const DEFAULT_MAX_CONNECTIONS: usize = 1_000;

impl ConfigurationWire {
    pub(super) fn configuration(
        self,
    ) -> Result<configuration::Configuration, configuration::ConfigurationError> {
        let routes: Result<Vec<_>, _> = self
            .routes
            .into_iter()
            .map(route_wire::RouteWire::route)
            .collect();
        let mut services = Vec::with_capacity(self.services.len());
        for service in self.services {
            let limit = service.connections;
            let max_connections = limit.map_or(DEFAULT_MAX_CONNECTIONS, |limit| limit as usize);
            let settings = configuration::Service {
                max_connections,
                warm_up: millis("WarmupS", service.warm_up * 1_000.0)?,
                cold_rate: service.cold_rate,
            };
            services.push((service.name, settings));
        }
        let limits = match self.limits {
            Some(limits) => configuration::CallerLimits {
                head_bytes: limits.head_bytes,
                body_bytes: limits.body_bytes,
                idle_timeout: millis("IdleTimeoutMs", limits.idle_ms)?,
            },
            None => configuration::CallerLimits::default(),
        };
        let accounts = self.accounts.unwrap_or_default().into_iter();
        let accounts: Result<Vec<_>, _> = accounts.map(account_wire::AccountWire::decode).collect();
        Ok(configuration::Configuration {
            version: self.version,
            routes: routes?,
            services: services.into_iter().collect(),
            accounts: accounts?,
            limits,
        })
    }
}

/// Converts the milliseconds of the wire field `name` to a duration.
pub(super) fn millis(
    name: &str,
    millis: f64,
) -> Result<time::Duration, configuration::ConfigurationError> {
    time::Duration::try_from_secs_f64(millis / 1_000.0).map_err(|error| {
        configuration::ConfigurationError::Unreadable {
            detail: format!("{name}: {error}"),
        }
    })
}

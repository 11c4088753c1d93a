//! Wire format of a route.

use crate::configuration;
use crate::platform::{configuration_wire, split_wire};

/// Route of a configuration; its target is `shards`, else `split`, else `service`.
#[derive(Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RouteWire {
    #[serde(default)]
    name: String,
    #[serde(rename = "Hostname")]
    host: String,
    #[serde(rename = "PathPrefix")]
    prefix: String,
    /// [`IDEMPOTENT`], or another value for requests that must not run twice.
    route_type: String,
    timeout_ms: f64,
    /// Latency objective in milliseconds.
    #[serde(rename = "TargetLatencyMs", default)]
    objective_ms: Option<f64>,
    #[serde(default)]
    priority: f64,
    #[serde(default)]
    attempts: Option<f64>,
    /// Whether requests need no key.
    #[serde(rename = "NoAuth", default)]
    open: bool,
    /// Service, which the wire calls a backend.
    #[serde(rename = "Backend", default)]
    service: Option<String>,
    #[serde(rename = "TrafficSplit", default)]
    split: Option<Vec<split_wire::SplitWire>>,
    /// Services that hold one shard each.
    #[serde(rename = "Gather", default)]
    shards: Option<Vec<String>>,
    /// Maximum number of records in an answer.
    #[serde(rename = "TopK", default)]
    top: Option<f64>,
    /// Smallest share of the shards that makes a sufficient answer; 1 if absent.
    #[serde(rename = "MinCoverage", default)]
    coverage: Option<f64>,
}

/// Route type of requests that may run more than once.
const IDEMPOTENT: &str = "idempotent";

impl RouteWire {
    pub(super) fn route(self) -> Result<configuration::Route, configuration::ConfigurationError> {
        let target = if let Some(shards) = self.shards {
            configuration::Target::Gather(configuration::Gather {
                shards,
                top_k: self.top.unwrap_or(0.0) as usize,
                coverage: self.coverage.unwrap_or(1.0),
            })
        } else if let Some(split) = self.split {
            let to_share = |share: split_wire::SplitWire| configuration::SplitShare {
                service: share.service,
                weight: share.weight,
            };
            configuration::Target::Split(split.into_iter().map(to_share).collect())
        } else {
            configuration::Target::Service(self.service.unwrap_or_default())
        };
        let timeout = configuration_wire::millis("TimeoutMs", self.timeout_ms)?;
        let objective = match self.objective_ms {
            Some(objective) => configuration_wire::millis("TargetLatencyMs", objective)?,
            None => timeout,
        };
        Ok(configuration::Route {
            name: self.name,
            host: self.host.to_ascii_lowercase(),
            prefix: self.prefix,
            idempotent: self.route_type == IDEMPOTENT,
            timeout,
            objective,
            priority: self.priority as u32,
            max_attempts: self.attempts.map_or(1, |attempts| attempts as usize).max(1),
            open: self.open,
            target,
        })
    }
}

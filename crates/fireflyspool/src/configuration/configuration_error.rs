//! Faults of a configuration.

use crate::ids;

/// Why a configuration is refused.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ConfigurationError {
    /// The text cannot be read.
    #[error("the configuration cannot be read: {detail}")]
    Unreadable {
        /// What the decoder found.
        detail: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{route}` must begin and end with a slash")]
    Prefix {
        /// Route.
        route: String,
    },
    /// A route allows no time.
    #[error("route `{route}` has no timeout")]
    NoTimeout {
        /// Route.
        route: String,
    },
    /// No part of a split has a weight.
    #[error("the weights of route `{route}` add up to 0")]
    NoWeight {
        /// Route.
        route: String,
    },
    /// A route names no service.
    #[error("route `{route}` names no service")]
    NoTarget {
        /// Route.
        route: String,
    },
    /// A route names a service that the configuration does not define.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: ids::ServiceName,
    },
    /// Two routes match the same requests.
    #[error("two routes share host `{host}` and prefix `{prefix}`")]
    SamePlace {
        /// Host.
        host: String,
        /// Prefix.
        prefix: String,
    },
}

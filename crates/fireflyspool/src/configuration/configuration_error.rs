//! Errors in a configuration.

use crate::ids;

/// Why a configuration is rejected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ConfigurationError {
    /// The text is not in the expected format.
    #[error("the configuration cannot be read: {detail}")]
    Unreadable {
        /// Error message of the decoder.
        detail: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route `{route}` must begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[error("route `{route}` has no timeout")]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// No service of a split has a weight above zero.
    #[error("the weights of route `{route}` add up to 0")]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// A route names no service.
    #[error("route `{route}` names no service")]
    NoTarget {
        /// Name of the route.
        route: String,
    },
    /// A route names a service that the configuration does not define.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: ids::ServiceName,
    },
    /// Two routes have the same host and path prefix.
    #[error("two routes share host `{host}` and prefix `{prefix}`")]
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
}

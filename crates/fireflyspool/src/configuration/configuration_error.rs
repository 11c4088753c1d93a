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
    /// A client account has no name.
    #[error("a client account has no name")]
    UnnamedAccount,
    /// The name of a client account cannot stand in a header.
    #[error("the name of client account `{account}` cannot stand in a header")]
    InvalidName {
        /// Name of the account, escaped.
        account: String,
    },
    /// Two client accounts have the same name.
    #[error("two client accounts have the name `{account}`")]
    DuplicateAccount {
        /// Name of both accounts.
        account: ids::AccountName,
    },
    /// Two client accounts hold the same key, or one holds it twice; the key is not shown.
    #[error("client accounts `{first}` and `{second}` share a key")]
    SharedKey {
        /// Name of one account.
        first: ids::AccountName,
        /// Name of the other account.
        second: ids::AccountName,
    },
    /// A key is empty, no text, or cannot stand in a header; the key is not shown.
    #[error("key {number} of client account `{account}` is empty or cannot stand in a header")]
    InvalidKey {
        /// Name of the account.
        account: ids::AccountName,
        /// Position of the key in the account, from 1.
        number: usize,
    },
    /// The rate or burst of a client account is negative or not finite.
    #[error("the quota of client account `{account}` is negative or not finite")]
    InvalidQuota {
        /// Name of the account.
        account: ids::AccountName,
    },
}

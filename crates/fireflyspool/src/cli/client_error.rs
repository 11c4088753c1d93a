//! Errors of the command-line clients.

use std::net;

use crate::settings;

/// Error of a client request that returned no outcome.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ClientError {
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client")]
    Setup(#[source] reqwest::Error),
    /// The connection failed, so the request was not sent.
    #[error("cannot connect to {address}")]
    Connect {
        /// Address that was tried.
        address: net::SocketAddr,
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// No valid response arrived; the request may have run.
    #[error("no valid response from {address}; the request may have run")]
    NoAnswer {
        /// Address that was called.
        address: net::SocketAddr,
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// The key file cannot be read or is invalid.
    #[error("cannot use the key file")]
    Key(#[from] settings::SettingsError),
}

//! Errors of the command-line clients.

use std::net;

use crate::settings;

/// Why a client got no outcome.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ClientError {
    /// The HTTP library cannot be set up.
    #[error("cannot set up the HTTP client")]
    Setup(#[source] reqwest::Error),
    /// The address cannot be reached; nothing was sent.
    #[error("cannot connect to {address}")]
    Connect {
        /// Address that was tried.
        address: net::SocketAddr,
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// The request may have arrived but there is no readable answer.
    #[error("no answer from {address}; the request may have run")]
    NoAnswer {
        /// Address that was called.
        address: net::SocketAddr,
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// The key file cannot be used.
    #[error("cannot use the key file")]
    Key(#[from] settings::SettingsError),
}

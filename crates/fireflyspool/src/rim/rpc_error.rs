//! Errors of the listener for other processes.

use std::{io, net};

/// Why the listener for other processes cannot run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RpcError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}")]
    Bind {
        /// Address of the settings.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A method is registered twice.
    #[error("cannot register the methods")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}

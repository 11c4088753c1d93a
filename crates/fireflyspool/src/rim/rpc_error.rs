//! Errors of starting a listener.

use std::{io, net};

/// Failure to start a listener.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RpcError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}")]
    Bind {
        /// Address to listen on.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A method is registered twice.
    #[error("cannot register the methods")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}

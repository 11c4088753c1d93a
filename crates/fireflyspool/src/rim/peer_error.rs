//! Errors of calls between processes of the tier.

use std::net;

/// Failure of a call to another process.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// No address is known for this VM; nothing was sent.
    #[error("no address is known for VM {0}")]
    Unaddressed(u64),
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to {address}")]
    Connect {
        /// Address that was tried.
        address: net::SocketAddr,
        /// Error of the client library.
        source: Box<jsonrpsee::core::ClientError>,
    },
    /// The handshake did not complete in time; nothing was sent.
    #[error("{address} accepted a connection and did not answer")]
    Unanswered {
        /// Address that was tried.
        address: net::SocketAddr,
    },
    /// The call failed after it may have been sent.
    #[error("call to {address} failed")]
    Call {
        /// Address that was called.
        address: net::SocketAddr,
        /// Error of the client library.
        source: Box<jsonrpsee::core::ClientError>,
    },
    /// No answer arrived in time; the call may have been executed.
    #[error("call to {address} timed out")]
    Timeout {
        /// Address that was called.
        address: net::SocketAddr,
    },
}

impl PeerError {
    /// Whether the call may have reached the other process.
    pub fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Call { .. } | Self::Timeout { .. })
    }
}

//! Client for backend servers.

use std::{net, pin, sync};

use crate::{backend, forward, node};

/// Attempt in progress; dropping it closes its connection.
pub type AttemptFuture =
    pin::Pin<Box<dyn Future<Output = (forward::AttemptEnd, backend::Condition)> + Send>>;

/// Opening of a connection; dropping it gives the connection up.
pub type OpenFuture = pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Sends attempts to backend servers in their protocol.
pub trait BackendClient: Send + Sync {
    /// Sends a request and reads the whole response, with what the server states about itself.
    fn send(&self, send: forward::Send, message: sync::Arc<node::Message>) -> AttemptFuture;

    /// Opens a connection for a later attempt; does nothing if one is kept already.
    fn open(&self, address: net::SocketAddr) -> OpenFuture;
}

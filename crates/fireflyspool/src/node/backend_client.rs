//! Client for backend servers.

use std::{net, pin, sync};

use crate::{backend, configuration, forward, node};

/// Attempt in progress; dropping it closes its connection.
pub type AttemptFuture =
    pin::Pin<Box<dyn Future<Output = (forward::AttemptEnd, backend::Condition)> + Send>>;

/// Opening of a connection; dropping it gives the connection up.
pub type OpenFuture = pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Check in progress whether a server accepts connections; `None` if that is not known.
pub type AcceptsFuture = pin::Pin<Box<dyn Future<Output = Option<bool>> + Send>>;

/// Sends attempts to backend servers in their protocol.
pub trait BackendClient: Send + Sync {
    /// Sends a request and reads the whole response, with what the server states about itself.
    fn send(&self, send: forward::Send, message: sync::Arc<node::Message>) -> AttemptFuture;

    /// Replaces what a caller stated about its identity by the account that its request runs for,
    /// or removes it if there is none; its key is removed in both cases.
    fn identify(&self, headers: &mut http::HeaderMap, account: Option<&configuration::Account>);

    /// Opens a connection for a later attempt; does nothing if one is kept already.
    fn open(&self, address: net::SocketAddr) -> OpenFuture;

    /// Finds out whether a process accepts connections at an address. A connection that is
    /// opened for it is kept, unless `kept` are kept already; `None` for the usual number.
    fn accepts(&self, address: net::SocketAddr, kept: Option<usize>) -> AcceptsFuture;
}

//! Client for backend servers.

use std::{pin, sync};

use crate::{backend, forward, node};

/// Attempt in progress; dropping it closes its connection.
pub type AttemptFuture =
    pin::Pin<Box<dyn Future<Output = (forward::AttemptEnd, backend::Condition)> + Send>>;

/// Sends attempts to backend servers in their protocol.
pub trait BackendClient: Send + Sync {
    /// Sends a request and reads the whole response, with what the server states about itself.
    fn send(&self, send: forward::Send, message: sync::Arc<node::Message>) -> AttemptFuture;
}

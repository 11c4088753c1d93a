//! The way to backend servers.

use std::{pin, sync};

use crate::{backend, forward, node};

/// A send under way; dropping it closes its connection.
pub type Sending =
    pin::Pin<Box<dyn Future<Output = (forward::AttemptEnd, Option<backend::Load>)> + Send>>;

/// Client for backend servers.
pub trait Link: Send + Sync {
    /// Sends a request and reads the whole answer.
    fn send(&self, send: forward::Send, message: sync::Arc<node::Message>) -> Sending;
}

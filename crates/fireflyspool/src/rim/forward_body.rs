//! Body of a response to a forwarded request.

use std::{future, net, sync};

use hyper::body;

use crate::rim;
use crate::rim::{forward_connection, idle_connections};

/// Body that has not been read; dropping it closes its connection.
pub struct ForwardBody {
    pub(super) body: body::Incoming,
    pub(super) connection: forward_connection::ForwardConnection<forward_connection::Receiving>,
    pub(super) address: net::SocketAddr,
    pub(super) idle: sync::Arc<idle_connections::IdleConnections>,
}

impl ForwardBody {
    /// Reads the whole body, and keeps the connection for reuse.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if the body ends early or the response is too long.
    pub async fn read(mut self) -> Result<bytes::Bytes, rim::ForwardError> {
        let mut chunks = Vec::new();
        loop {
            let (connection, body) = (&mut self.connection, &mut self.body);
            let frame = future::poll_fn(|context| connection.poll_frame(body, context)).await;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(rim::ForwardError::Truncated)?;
            // Trailers are not forwarded.
            chunks.extend(frame.into_data().ok());
        }
        if let Some(connection) = self.connection.finish().await {
            self.idle.put(self.address, connection);
        }
        Ok(match chunks.len() {
            1 => chunks.remove(0),
            _ => chunks.concat().into(),
        })
    }
}

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
    /// Idle connections that are kept at most.
    pub(super) kept: usize,
    pub(super) idle: sync::Arc<idle_connections::IdleConnections>,
}

impl ForwardBody {
    /// Reads the whole body, and keeps the connection for reuse.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if the body ends early or the response is too long.
    pub async fn read(mut self) -> Result<bytes::Bytes, rim::ForwardError> {
        let first = self.next_chunk().await?.unwrap_or_default();
        // Chunks of a few bytes take many times their length if each is kept by itself.
        let mut joined = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&chunk);
        }
        if let Some(connection) = self.connection.finish().await {
            self.idle.put(self.address, connection, self.kept);
        }
        Ok(match joined.is_empty() {
            true => first,
            false => joined.freeze(),
        })
    }

    /// Reads the next bytes of the body; `None` at its end. [`Self::read`] then keeps the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if the body ends early or the response is too long.
    pub async fn next_chunk(&mut self) -> Result<Option<bytes::Bytes>, rim::ForwardError> {
        loop {
            let (connection, body) = (&mut self.connection, &mut self.body);
            let frame = future::poll_fn(|context| connection.poll_frame(body, context)).await;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(rim::ForwardError::Truncated)?;
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

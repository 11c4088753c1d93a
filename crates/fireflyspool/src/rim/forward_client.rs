//! HTTP client for requests that are forwarded unchanged.
//!
//! It uses hyper's connections directly: the URL type that reqwest requires would
//! normalize the request target, which must arrive as the caller sent it, and a
//! pooled client runs a task of its own for each connection. A request is sent
//! again only if none of it was written because its idle connection had been closed.

use std::{io, net, sync, time};

use crate::rim::{forward_connection, idle_connections, receive_pool};
use crate::{rim, timer};

/// Time limit of the check whether a process still accepts connections; its caller waits.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Memory for the responses under way that a client takes if nothing else is stated; a third of
/// that of a small VM.
const DEFAULT_POOL_BYTES: usize = 32 * 1024 * 1024;

/// Client with a pool of idle connections, which leaves requests unchanged.
#[derive(Clone)]
pub struct ForwardClient {
    idle: sync::Arc<idle_connections::IdleConnections>,
    pool: sync::Arc<receive_pool::ReceivePool>,
    timer: timer::TimerService,
}

impl ForwardClient {
    /// Creates a client without connections.
    pub fn new(timer: timer::TimerService) -> Self {
        Self::with_memory(timer, DEFAULT_POOL_BYTES)
    }

    /// Creates a client whose responses under way take up to `bytes` together, beyond a small
    /// share of each.
    pub fn with_memory(timer: timer::TimerService, bytes: usize) -> Self {
        let idle = idle_connections::IdleConnections::new(timer.clone());
        Self {
            idle: sync::Arc::new(idle),
            pool: sync::Arc::new(receive_pool::ReceivePool::new(bytes)),
            timer,
        }
    }

    /// Sends a request, whose target must have no scheme and host, and receives the
    /// head of the response. The connection is kept for the next request.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if no response arrives.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<rim::ForwardBody>, rim::ForwardError> {
        self.send_keeping(address, usize::MAX, request).await
    }

    /// Sends a request like [`Self::send`], and closes its connection after the response if
    /// `kept` idle ones are kept to the same server already.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if no response arrives.
    pub async fn send_keeping(
        &self,
        address: net::SocketAddr,
        kept: usize,
        mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<rim::ForwardBody>, rim::ForwardError> {
        while let Some(idle) = self.idle.take(address) {
            let Some(connection) = idle.open().await else {
                continue;
            };
            match self.exchange((address, kept), connection, request).await {
                Ok(response) => return Ok(response),
                Err(failure) => match failure.unsent {
                    Some(unsent) => request = unsent,
                    None => return Err(rim::ForwardError::Broken(failure.source)),
                },
            }
        }
        let connection = self.connect(address).await?;
        let sent = self.exchange((address, kept), connection, request).await;
        sent.map_err(|failure| rim::ForwardError::Broken(failure.source))
    }

    /// Opens a connection and keeps it for the next request, unless one is kept already.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if no connection can be opened.
    pub async fn open(&self, address: net::SocketAddr) -> Result<(), rim::ForwardError> {
        if self.idle.contains(address) {
            return Ok(());
        }
        let connection = self.connect(address).await?;
        self.idle.put(address, connection.rest(), usize::MAX);
        Ok(())
    }

    /// Whether no process accepts connections at an address; `false` if that is not known.
    ///
    /// A connection that is opened is kept for the next request, unless `kept` are kept already.
    pub async fn is_refused(&self, address: net::SocketAddr, kept: usize) -> bool {
        self.connect_to_check(address, kept).await == Some(false)
    }

    /// Whether a process accepts connections at an address; `None` if that is not known.
    ///
    /// A connection that is kept and that the process has not closed shows it. One that is
    /// opened is kept for the next request, unless `kept` are kept already.
    pub async fn accepts(&self, address: net::SocketAddr, kept: usize) -> Option<bool> {
        match self.idle.contains(address) {
            true => Some(true),
            false => self.connect_to_check(address, kept).await,
        }
    }

    async fn connect_to_check(&self, address: net::SocketAddr, kept: usize) -> Option<bool> {
        let connected = tokio::select! {
            connected = self.connect(address) => connected,
            () = self.timer.sleep(CHECK_TIMEOUT) => return None,
        };
        match connected {
            Ok(connection) => {
                self.idle.put(address, connection.rest(), kept);
                Some(true)
            }
            Err(rim::ForwardError::Connect(error)) => match error.kind() {
                io::ErrorKind::ConnectionRefused => Some(false),
                // The process lives, and has as many connections as it accepts.
                io::ErrorKind::ConnectionReset => Some(true),
                _ => None,
            },
            Err(_) => None,
        }
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
    ) -> Result<forward_connection::ForwardConnection<forward_connection::Open>, rim::ForwardError>
    {
        forward_connection::ForwardConnection::connect(address, &self.timer, &self.pool).await
    }

    async fn exchange(
        &self,
        (address, kept): (net::SocketAddr, usize),
        connection: forward_connection::ForwardConnection<forward_connection::Open>,
        request: http::Request<forward_connection::RequestBody>,
    ) -> Result<http::Response<rim::ForwardBody>, rim::send_failure::SendFailure> {
        let (head, body, connection) = connection.send(request).await?;
        let body = rim::ForwardBody {
            body,
            connection,
            address,
            kept,
            idle: sync::Arc::clone(&self.idle),
        };
        Ok(http::Response::from_parts(head, body))
    }
}

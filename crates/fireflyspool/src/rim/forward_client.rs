//! HTTP client for requests that are forwarded unchanged.
//!
//! It uses hyper's pooled client directly: the URL type that reqwest requires
//! would normalize the request target, which must arrive as the caller sent it.
//! The client retries a request only if it was never written because its pooled
//! connection had been closed.

use std::time;

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::rim;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time for which an idle connection is kept. Servers close theirs later, so a
/// request rarely meets a connection that is being closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Idle connections kept for each backend server.
const MAX_IDLE_CONNECTIONS: usize = 4;

type Body = http_body_util::Full<bytes::Bytes>;

/// Pooled client that leaves request targets and `Host` headers unchanged.
#[derive(Clone)]
pub struct ForwardClient {
    client: legacy::Client<legacy::connect::HttpConnector, Body>,
}

impl Default for ForwardClient {
    fn default() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .set_host(false)
            .build(connector);
        Self { client }
    }
}

impl ForwardClient {
    /// Sends a request, whose target must be an absolute URI.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if no response arrives.
    pub async fn send(
        &self,
        request: http::Request<Body>,
    ) -> Result<http::Response<hyper::body::Incoming>, rim::ForwardError> {
        let sent = self.client.request(request).await;
        sent.map_err(|error| match error.is_connect() {
            true => rim::ForwardError::Connect(error),
            false => rim::ForwardError::Broken(error),
        })
    }

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::ForwardError`] if the body ends early.
    pub async fn read(body: hyper::body::Incoming) -> Result<bytes::Bytes, rim::ForwardError> {
        let collected = body.collect().await;
        Ok(collected.map_err(rim::ForwardError::Truncated)?.to_bytes())
    }
}

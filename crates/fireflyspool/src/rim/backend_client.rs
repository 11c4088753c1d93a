//! HTTP client of one backend server.

use std::{net, time};

use crate::{backend, dispatch, ids, rim};

/// Time for which an idle connection is kept; opening a new one takes up to 6 ms.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Largest accepted reply; a reply holds at most 1,000 hits.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Sends attempts to one backend server over its own connections.
///
/// Dropping the client closes its connections. Each submission opens a new
/// connection: on a pooled one that the server has just closed, the library
/// cannot tell whether the request arrived.
#[derive(Clone)]
pub struct BackendClient {
    address: net::SocketAddr,
    pooled: reqwest::Client,
    fresh: reqwest::Client,
}

impl BackendClient {
    /// Creates a client that keeps at most `idle` idle connections.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP library if a client cannot be built.
    pub fn new(address: net::SocketAddr, idle: usize) -> Result<Self, reqwest::Error> {
        let pooled = client_builder()
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(IDLE_TIMEOUT);
        let fresh = client_builder().pool_max_idle_per_host(0);
        Ok(Self {
            address,
            pooled: pooled.build()?,
            fresh: fresh.build()?,
        })
    }

    /// Sends an attempt and waits for its reply.
    pub async fn send(&self, body: &dispatch::Body, timeout: time::Duration) -> rim::BackendReply {
        let sent = match body {
            dispatch::Body::Search(search) => {
                let request = self.pooled.post(self.url("v1/search")).json(search);
                request.timeout(timeout).send().await
            }
            dispatch::Body::Submit(submit) => {
                let request = self.fresh.post(self.url("v1/submit")).json(submit);
                request.timeout(timeout).send().await
            }
        };
        match sent {
            Ok(response) => read_reply(body, response).await,
            Err(error) => rim::BackendReply::Broken {
                sent: !error.is_connect(),
            },
        }
    }

    /// Cancels an attempt; `None` if no valid reply arrived in time.
    pub async fn cancel(
        &self,
        attempt: ids::AttemptId,
        timeout: time::Duration,
    ) -> Option<backend::CancelState> {
        #[derive(serde::Deserialize)]
        struct CancelReply {
            state: backend::CancelState,
        }
        let cancel = backend::CancelRequest { attempt };
        let request = self.pooled.post(self.url("v1/cancel")).json(&cancel);
        let response = request.timeout(timeout).send().await.ok()?;
        let bytes = read_bounded(response).await.ok()??;
        let reply: CancelReply = serde_json::from_slice(&bytes).ok()?;
        Some(reply.state)
    }

    /// Opens a pooled connection in advance; returns whether it succeeded.
    pub async fn open(&self) -> bool {
        let request = self.pooled.get(self.url("v1/health"));
        match request.timeout(CONNECT_TIMEOUT).send().await {
            // The connection returns to the pool only after the body has been read.
            Ok(response) => matches!(read_bounded(response).await, Ok(Some(_))),
            Err(_) => false,
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

fn client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .http1_only()
}

async fn read_reply(body: &dispatch::Body, response: reqwest::Response) -> rim::BackendReply {
    let status = response.status().as_u16();
    let bytes = match read_bounded(response).await {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return rim::BackendReply::Unreadable,
        Err(_) => return rim::BackendReply::Broken { sent: true },
    };
    let parsed = match (status, body) {
        (200, dispatch::Body::Search(_)) => {
            serde_json::from_slice(&bytes).map(rim::BackendReply::Searched)
        }
        (200, dispatch::Body::Submit(_)) => {
            serde_json::from_slice(&bytes).map(rim::BackendReply::Submitted)
        }
        (409 | 410 | 503, _) => serde_json::from_slice(&bytes)
            .map(|refused| rim::BackendReply::Refused(status, refused)),
        _ => return rim::BackendReply::Unreadable,
    };
    parsed.unwrap_or(rim::BackendReply::Unreadable)
}

/// Reads a body of at most [`MAX_REPLY_BYTES`]; `None` if it is longer.
async fn read_bounded(mut response: reqwest::Response) -> Result<Option<Vec<u8>>, reqwest::Error> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if bytes.len() + chunk.len() > MAX_REPLY_BYTES {
            return Ok(None);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(Some(bytes))
}

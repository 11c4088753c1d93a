//! JSON-RPC connection to one other process of the tier.

use std::{net, sync, time};

use jsonrpsee::{core::client, ws_client};
use tokio::sync as async_sync;

use crate::{rim, settings};

/// Timeout for opening a connection; longer than any round trip within a region.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Calls that may be in flight on one connection.
const MAX_CONCURRENT_CALLS: usize = 4_096;

type Client = sync::Arc<ws_client::WsClient>;

/// Connection that is opened on first use and again after it breaks.
pub struct Peer {
    address: net::SocketAddr,
    /// Shared key of the site; `None` if the network admits only its processes.
    key: Option<settings::SharedKey>,
    client: async_sync::RwLock<Option<Client>>,
    /// When the last answer arrived.
    answered_at: sync::Mutex<Option<time::Instant>>,
    /// When opening a connection last failed.
    failed_at: sync::Mutex<Option<time::Instant>>,
}

impl Peer {
    /// Creates a peer without connecting to it.
    pub fn new(address: net::SocketAddr, key: Option<settings::SharedKey>) -> Self {
        Self {
            address,
            key,
            client: async_sync::RwLock::new(None),
            answered_at: sync::Mutex::default(),
            failed_at: sync::Mutex::default(),
        }
    }

    /// Address of the other process.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls a method with one parameter; the timeout covers opening a connection.
    ///
    /// # Errors
    ///
    /// Returns a [`rim::PeerError`]; [`rim::PeerError::may_have_arrived`]
    /// tells whether the other process may have seen the call.
    pub async fn call<P, R>(
        &self,
        method: rim::Method,
        parameter: &P,
        timeout: time::Duration,
    ) -> Result<R, rim::PeerError>
    where
        P: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let started = time::Instant::now();
        let connected = tokio::time::timeout(timeout, self.connected()).await;
        let client = connected.map_err(|_| rim::PeerError::Unanswered {
            address: self.address,
        })??;
        let parameters = jsonrpsee::rpc_params![parameter];
        let call = client::ClientT::request(client.as_ref(), method.name(), parameters);
        let remaining = timeout.saturating_sub(started.elapsed());
        match tokio::time::timeout(remaining, call).await {
            Ok(Ok(result)) => {
                *self.last_answer() = Some(time::Instant::now());
                Ok(result)
            }
            Ok(Err(source)) => {
                if !client.is_connected() {
                    self.discard(&client).await;
                }
                let source = Box::new(source);
                Err(rim::PeerError::Call {
                    address: self.address,
                    source,
                })
            }
            Err(_) => {
                // Without any answer since the call began, the connection may be dead.
                if self.last_answer().is_none_or(|answered| answered < started) {
                    self.discard(&client).await;
                }
                Err(rim::PeerError::Timeout {
                    address: self.address,
                })
            }
        }
    }

    fn last_answer(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.answered_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn connected(&self) -> Result<Client, rim::PeerError> {
        if let Some(client) = self.client.read().await.as_ref()
            && client.is_connected()
        {
            return Ok(sync::Arc::clone(client));
        }
        let requested = time::Instant::now();
        let mut slot = self.client.write().await;
        if let Some(client) = slot.as_ref()
            && client.is_connected()
        {
            return Ok(sync::Arc::clone(client));
        }
        // Calls that waited for a failed connection attempt share its failure;
        // if each tried again in turn, a stopped process would hold them up for
        // many times the timeout.
        if self
            .last_failure()
            .is_some_and(|failed| failed >= requested)
        {
            return Err(rim::PeerError::Unanswered {
                address: self.address,
            });
        }
        let opened = self.connect().await;
        if opened.is_err() {
            *self.last_failure() = Some(time::Instant::now());
        }
        let client = sync::Arc::new(opened?);
        *slot = Some(sync::Arc::clone(&client));
        Ok(client)
    }

    fn last_failure(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.failed_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<ws_client::WsClient, rim::PeerError> {
        let mut headers = ws_client::HeaderMap::new();
        if let Some(key) = &self.key
            && let Ok(value) = ws_client::HeaderValue::from_str(&key.header())
        {
            headers.insert("authorization", value);
        }
        let url = format!("ws://{}", self.address);
        let opening = ws_client::WsClientBuilder::default()
            .set_headers(headers)
            .set_tcp_no_delay(true)
            .connection_timeout(CONNECT_TIMEOUT)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .build(url);
        // The library's own timeout does not cover the handshake: the operating
        // system accepts connections for a stopped process, which never answers.
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let opened = opened.map_err(|_| rim::PeerError::Unanswered {
            address: self.address,
        })?;
        opened.map_err(|source| rim::PeerError::Connect {
            address: self.address,
            source: Box::new(source),
        })
    }

    async fn discard(&self, broken: &Client) {
        let mut slot = self.client.write().await;
        if slot
            .as_ref()
            .is_some_and(|client| sync::Arc::ptr_eq(client, broken))
        {
            *slot = None;
        }
    }
}

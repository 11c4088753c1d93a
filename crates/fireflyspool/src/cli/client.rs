//! HTTP client for callers and operators.

use std::{net, time};

use crate::{cli, directory, outcome, rim, settings, traffic};

/// Exceeds the longest query deadline and the longest wait of a command.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Client of the HTTP interface of any VM.
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Builds a client that uses no proxy, follows no redirect and never retries.
    ///
    /// # Errors
    ///
    /// Returns [`cli::ClientError::Setup`] if the HTTP client cannot be built.
    pub fn new() -> Result<Self, cli::ClientError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(cli::ClientError::Setup)?;
        Ok(Self { http })
    }

    /// Fetches the addresses that a caller of a service should use.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if no valid response arrives.
    pub async fn addresses(
        &self,
        entry: net::SocketAddr,
        service: &str,
        caller: &str,
    ) -> Result<directory::AddressList, cli::ClientError> {
        let url = format!("http://{entry}/v1/addresses");
        let query = [("service", service), ("caller", caller)];
        let pairs: Vec<_> = query
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        let request = self.http.get(format!("{url}?{}", pairs.join("&")));
        send(entry, request).await
    }

    /// Sends a caller's request to one address.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if no valid response arrives.
    pub async fn query(
        &self,
        address: net::SocketAddr,
        request: &rim::QueryRequest,
    ) -> Result<outcome::Outcome, cli::ClientError> {
        let url = format!("http://{address}/v1/query");
        send(address, self.http.post(url).json(request)).await
    }

    /// Sends an operator's command to one address.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if no valid response arrives.
    pub async fn command(
        &self,
        address: net::SocketAddr,
        key: &settings::SharedKey,
        request: &rim::CommandRequest,
    ) -> Result<traffic::CommandOutcome, cli::ClientError> {
        let url = format!("http://{address}/v1/command");
        let request = self
            .http
            .post(url)
            .header("authorization", key.header())
            .json(request);
        send(address, request).await
    }
}

async fn send<T: serde::de::DeserializeOwned>(
    address: net::SocketAddr,
    request: reqwest::RequestBuilder,
) -> Result<T, cli::ClientError> {
    let response = request.send().await.map_err(|source| {
        if source.is_connect() {
            cli::ClientError::Connect { address, source }
        } else {
            cli::ClientError::NoAnswer { address, source }
        }
    })?;
    let answer = response.json().await;
    answer.map_err(|source| cli::ClientError::NoAnswer { address, source })
}

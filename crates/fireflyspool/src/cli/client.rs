//! HTTP client of callers and operators.

use std::{net, time};

use crate::{cli, directory, outcome, rim, settings, traffic};

/// Longest wait for an answer; above the longest deadline and command.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Client of the HTTP interface of any VM.
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// A client without proxies, redirects and repeats.
    ///
    /// # Errors
    ///
    /// Returns [`cli::ClientError::Setup`] if the HTTP library cannot be set up.
    pub fn new() -> Result<Self, cli::ClientError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(TIMEOUT)
            .build()
            .map_err(cli::ClientError::Setup)?;
        Ok(Self { http })
    }

    /// Asks which addresses to use.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if there is no answer.
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
        read(entry, request).await
    }

    /// Sends a caller's request to one address.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if there is no answer.
    pub async fn query(
        &self,
        address: net::SocketAddr,
        request: &rim::QueryRequest,
    ) -> Result<outcome::Outcome, cli::ClientError> {
        let url = format!("http://{address}/v1/query");
        read(address, self.http.post(url).json(request)).await
    }

    /// Sends an operator's command to one address.
    ///
    /// # Errors
    ///
    /// Returns a [`cli::ClientError`] if there is no answer.
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
        read(address, request).await
    }
}

async fn read<T: serde::de::DeserializeOwned>(
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

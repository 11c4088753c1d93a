//! Searchers and requests for the tests.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod entry;

use std::time;

use fireflyspool::backend;
use fireflyspool_bench::searcher;
use tokio::sync::oneshot;

/// Profile with one shard, a fixed run time and no set-up time.
pub(crate) fn profile(behaviour: searcher::Behaviour) -> searcher::Profile {
    searcher::Profile {
        name: "s1".to_owned(),
        service: "intake-desk".to_owned(),
        zone: "a".to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        hosted: vec![hosted(1)],
        behaviour,
    }
}

/// Behaviour with one slot and a run time without spread.
pub(crate) fn behaviour(run_ms: u64) -> searcher::Behaviour {
    searcher::Behaviour {
        slots: 1,
        setup: time::Duration::ZERO,
        service_time: time::Duration::from_millis(run_ms),
        spread: 0.0,
        leave_time: time::Duration::from_millis(100),
        restart_time: time::Duration::from_millis(200),
        ..searcher::Behaviour::default()
    }
}

/// Shard 0 of a version.
pub(crate) fn hosted(version: u64) -> backend::HostedShard {
    backend::HostedShard {
        collection: "dossiers".to_owned(),
        version,
        shard: 0,
    }
}

/// Search of shard 0 of version 1.
pub(crate) fn search(attempt: u64, deadline_ms: u64) -> backend::SearchRequest {
    backend::SearchRequest {
        attempt,
        request: format!("1-{attempt}"),
        collection: "dossiers".to_owned(),
        version: 1,
        shard: 0,
        text: "award".to_owned(),
        deadline_ms,
        limit: 10,
    }
}

/// A running searcher.
pub(crate) struct Running {
    /// Addresses.
    pub(crate) listing: searcher::Listing,
    /// HTTP client.
    pub(crate) client: reqwest::Client,
    /// Task of the process.
    pub(crate) process: tokio::task::JoinHandle<anyhow::Result<()>>,
}

/// Starts one searcher that announces to the given addresses.
pub(crate) async fn start(
    behaviour: searcher::Behaviour,
    entries: Vec<std::net::SocketAddr>,
) -> Running {
    let folder = std::env::temp_dir().join(format!("bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let key_file = folder.join("key");
    std::fs::write(&key_file, "k1\n").expect("key");
    let settings = searcher::Settings {
        entries,
        key_file: Some(key_file),
        searchers: vec![profile(behaviour)],
        ..searcher::Settings::default()
    };
    let (sender, listed) = oneshot::channel();
    let process = tokio::spawn(searcher::run(settings, move |listings| {
        sender.send(listings[0].clone()).expect("the test waits");
    }));
    Running {
        listing: listed.await.expect("the searcher starts"),
        client: reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("client"),
        process,
    }
}

impl Running {
    /// Posts to the announced address; returns status and body.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> reqwest::Result<(u16, serde_json::Value)> {
        let url = format!("http://{}{path}", self.listing.address);
        let response = self.client.post(url).json(body).send().await?;
        let status = response.status().as_u16();
        Ok((status, response.json().await?))
    }

    /// Starts a post in the background.
    pub(crate) fn spawn_search(
        &self,
        request: backend::SearchRequest,
    ) -> tokio::task::JoinHandle<reqwest::Result<(u16, serde_json::Value)>> {
        let client = self.client.clone();
        let url = format!("http://{}/v1/search", self.listing.address);
        tokio::spawn(async move {
            let response = client.post(url).json(&request).send().await?;
            let status = response.status().as_u16();
            Ok((status, response.json().await?))
        })
    }

    /// Sends an instruction.
    pub(crate) async fn control(&self, control: serde_json::Value) -> u16 {
        let url = format!("http://{}/control", self.listing.control);
        let response = self.client.post(url).json(&control).send().await;
        response.expect("control").status().as_u16()
    }

    /// Reads the counters.
    pub(crate) async fn counters(&self) -> searcher::Counters {
        let url = format!("http://{}/control/counters", self.listing.control);
        let response = self.client.get(url).send().await.expect("counters");
        response.json().await.expect("counters")
    }
}

/// Waits without blocking the runtime.
pub(crate) async fn pause(milliseconds: u64) {
    tokio::time::sleep(time::Duration::from_millis(milliseconds)).await;
}

/// Port that was free a moment ago.
pub(crate) async fn free_port() -> u16 {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    listener
        .expect("bind")
        .local_addr()
        .expect("address")
        .port()
}

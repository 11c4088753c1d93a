//! Caller that checks every answer it gets.

use std::{net, time};

use super::{SHARDS, Site, WAIT_LIMIT, record};

/// HTTP client that asks from zone `a` and numbers its requests.
pub(crate) struct Caller {
    http: reqwest::Client,
    name: String,
    next: u64,
    /// Whether a connection broke during a request since the last `take_broken`.
    broken: bool,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self::named("c")
    }

    /// Caller whose request ids start with `name`.
    pub(crate) fn named(name: &str) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(time::Duration::from_secs(5))
            .build()
            .expect("a client");
        Self {
            http,
            name: name.to_owned(),
            next: 0,
            broken: false,
        }
    }

    /// Asks control VM `vm` for entry addresses until it returns `count`, and panics
    /// if it does not in time.
    pub(crate) async fn resolve(&self, site: &Site, vm: u8, count: usize) -> Vec<net::SocketAddr> {
        let start = time::Instant::now();
        while start.elapsed() < WAIT_LIMIT {
            if let Some(listed) = self.resolve_once(site, vm).await
                && listed.len() == count
            {
                return listed;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        panic!("control VM {vm} did not return {count} addresses in {WAIT_LIMIT:?}");
    }

    /// Asks control VM `vm` for entry addresses once; `None` without a valid answer.
    pub(crate) async fn resolve_once(&self, site: &Site, vm: u8) -> Option<Vec<net::SocketAddr>> {
        let url = format!(
            "http://{}/fireflyspool/resolve?Name=h.example&Region=r&Zone=a",
            site.address(vm, 2)
        );
        let answer = self.http.get(&url).send().await.ok()?;
        let answer: serde_json::Value = answer.json().await.ok()?;
        let parse = |value: &serde_json::Value| value.as_str()?.parse().ok();
        Some(
            answer["addrs"]
                .as_array()?
                .iter()
                .filter_map(parse)
                .collect(),
        )
    }

    /// Sends a request whose path is `prefix` and its id; returns the id and the answer.
    pub(crate) async fn send(
        &mut self,
        entry: net::SocketAddr,
        prefix: &str,
    ) -> (String, reqwest::Result<reqwest::Response>) {
        let id = self.next_id(entry);
        let answer = self.send_as(&id, entry, &format!("{prefix}{id}")).await;
        (id, answer)
    }

    /// Id of a new request to an entry VM.
    fn next_id(&mut self, entry: net::SocketAddr) -> String {
        self.next += 1;
        // The stand-in servers tell the entry VMs apart by the end of the id.
        format!("{}{}-{entry}", self.name, self.next)
    }

    /// Sends a request with a new id to a path; returns the status, or `None` without an
    /// answer.
    pub(crate) async fn get(&mut self, entry: net::SocketAddr, path: &str) -> Option<u16> {
        let id = self.next_id(entry);
        let answer = self.send_as(&id, entry, path).await.ok()?;
        let status = answer.status().as_u16();
        answer.bytes().await.ok()?;
        Some(status)
    }

    async fn send_as(
        &mut self,
        id: &str,
        entry: net::SocketAddr,
        path: &str,
    ) -> reqwest::Result<reqwest::Response> {
        let request = self
            .http
            .get(format!("http://{entry}{path}"))
            .header("host", "h.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", "3000");
        let answer = request.send().await;
        if let Err(error) = &answer {
            self.broken |= !error.is_connect() && !error.is_timeout();
        }
        answer
    }

    /// Returns whether a connection broke during a request, and clears the mark.
    pub(crate) fn take_broken(&mut self) -> bool {
        std::mem::take(&mut self.broken)
    }

    /// Queries all shards; returns the number of missing ones, or `None` without success.
    ///
    /// Panics if the stamps, the number of missing parts and the body do not agree.
    pub(crate) async fn query_shards(&mut self, entry: net::SocketAddr) -> Option<usize> {
        self.query_route(entry, "/all/", SHARDS.len()).await
    }

    /// Queries the shards of a route like [`Self::query_shards`].
    pub(crate) async fn query_route(
        &mut self,
        entry: net::SocketAddr,
        prefix: &str,
        shards: usize,
    ) -> Option<usize> {
        let (id, answer) = self.send(entry, prefix).await;
        let answer = answer.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let stamps = header("x-part-stamps");
        let missing: usize = header("x-missing-parts")
            .parse()
            .expect("a number of missing parts");
        let mut services = Vec::new();
        for stamp in stamps.split(", ") {
            let (service, request) = stamp.split_once('.').expect("a stamp of a stand-in server");
            assert_eq!(request, id, "the part belongs to another request");
            assert!(
                !services.contains(&service.to_owned()),
                "two parts of one service"
            );
            services.push(service.to_owned());
        }
        assert_eq!(services.len() + missing, shards);
        let body = answer.bytes().await.ok()?;
        let mut expected: Vec<_> = services
            .iter()
            .flat_map(|service| (0..5).map(|index| record(service, &id, index)))
            .collect();
        expected.sort_unstable_by(|a, b| b.cmp(a));
        expected.truncate(4);
        assert_eq!(
            body,
            expected.concat(),
            "the body is not the greatest records of the parts"
        );
        Some(missing)
    }

    /// Sends a single request; returns the status, or `None` without an answer.
    pub(crate) async fn send_single(&mut self, entry: net::SocketAddr) -> Option<u16> {
        self.send_single_with_id(entry).await.1
    }

    /// Sends a single request; returns its id, and the status or `None`.
    pub(crate) async fn send_single_with_id(
        &mut self,
        entry: net::SocketAddr,
    ) -> (String, Option<u16>) {
        let (id, answer) = self.send(entry, "/one/").await;
        let status = match answer {
            Ok(answer) => check_single(answer, &id).await,
            Err(_) => None,
        };
        (id, status)
    }
}

/// Checks the answer to a single request; returns the status.
async fn check_single(answer: reqwest::Response, id: &str) -> Option<u16> {
    let status = answer.status().as_u16();
    if status == 200 {
        assert_eq!(answer.headers()["x-request-id"], id);
        let stamp = answer.headers()["x-server-stamp"].to_str().expect("text");
        assert_eq!(stamp, format!("desk.{id}"));
        let body = answer.bytes().await.ok()?;
        let expected: Vec<_> = (0..5).map(|index| record("desk", id, index)).collect();
        assert_eq!(body, expected.concat());
    }
    Some(status)
}

//! Caller that checks every answer.

use std::{net, time};

use super::{PATIENCE, SHARDS, Site, record};

/// Caller on one zone.
pub(crate) struct Caller {
    http: reqwest::Client,
    name: String,
    next: u64,
    /// Whether a connection broke under a request.
    cut: bool,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self::named("c")
    }

    /// A caller whose request ids start with its name.
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
            cut: false,
        }
    }

    /// Asks control VM `vm` for addresses until it names this many.
    pub(crate) async fn resolve(&self, site: &Site, vm: u8, count: usize) -> Vec<net::SocketAddr> {
        let start = time::Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(listed) = self.look_up(site, vm).await
                && listed.len() == count
            {
                return listed;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        panic!("{count} addresses were not named in {PATIENCE:?}");
    }

    /// Asks control VM `vm` for addresses once.
    pub(crate) async fn look_up(&self, site: &Site, vm: u8) -> Option<Vec<net::SocketAddr>> {
        let url = format!(
            "http://{}/fireflyspool/resolve?Name=h.example&Region=r&Zone=a",
            site.at(vm, 2)
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

    /// Sends a request under a prefix; returns its id and the answer.
    pub(crate) async fn send(
        &mut self,
        entry: net::SocketAddr,
        prefix: &str,
    ) -> (String, reqwest::Result<reqwest::Response>) {
        self.next += 1;
        let id = format!("{}{}", self.name, self.next);
        let request = self
            .http
            .get(format!("http://{entry}{prefix}{id}"))
            .header("host", "h.example")
            .header("x-request-id", &id)
            .header("x-deadline-ms", "3000");
        let answer = request.send().await;
        if let Err(error) = &answer {
            self.cut |= !error.is_connect() && !error.is_timeout();
        }
        (id, answer)
    }

    /// Whether a connection broke under a request since the last call.
    pub(crate) fn take_cut(&mut self) -> bool {
        std::mem::take(&mut self.cut)
    }

    /// Gathers; returns the number of missing shards, or `None` without success.
    ///
    /// Panics if a success claims more than it holds.
    pub(crate) async fn gather(&mut self, entry: net::SocketAddr) -> Option<usize> {
        let (id, answer) = self.send(entry, "/all/").await;
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
        let missing: usize = header("x-missing-parts").parse().expect("a number");
        let mut services = Vec::new();
        for stamp in stamps.split(", ") {
            let (service, request) = stamp.split_once('.').expect("a stamp of the stand-in");
            assert_eq!(request, id, "a part of another request");
            assert!(!services.contains(&service.to_owned()), "a part twice");
            services.push(service.to_owned());
        }
        assert_eq!(services.len() + missing, SHARDS.len());
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
            "not the greatest records of the parts"
        );
        Some(missing)
    }

    /// Fetches from one server; returns the status.
    pub(crate) async fn fetch(&mut self, entry: net::SocketAddr) -> Option<u16> {
        self.fetch_named(entry).await.1
    }

    /// Fetches from one server; returns the request id and the status.
    pub(crate) async fn fetch_named(&mut self, entry: net::SocketAddr) -> (String, Option<u16>) {
        let (id, answer) = self.send(entry, "/one/").await;
        let status = match answer {
            Ok(answer) => check(answer, &id).await,
            Err(_) => None,
        };
        (id, status)
    }
}

/// Checks the answer of one server; returns the status.
async fn check(answer: reqwest::Response, id: &str) -> Option<u16> {
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

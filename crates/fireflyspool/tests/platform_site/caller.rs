//! Caller that checks every answer.

use std::{net, time};

use super::{PATIENCE, SHARDS, Site, record};

/// Caller on one zone.
pub(crate) struct Caller {
    http: reqwest::Client,
    next: u64,
}

impl Caller {
    pub(crate) fn new() -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(time::Duration::from_secs(5))
            .build()
            .expect("a client");
        Self { http, next: 0 }
    }

    /// Asks control VM `vm` for addresses until it names this many.
    pub(crate) async fn resolve(&self, site: &Site, vm: u8, count: usize) -> Vec<net::SocketAddr> {
        let url = format!(
            "http://{}/fireflyspool/resolve?Name=h.example&Region=r&Zone=a",
            site.at(vm, 2)
        );
        let start = time::Instant::now();
        while start.elapsed() < PATIENCE {
            if let Ok(answer) = self.http.get(&url).send().await
                && let Ok(answer) = answer.json::<serde_json::Value>().await
                && let Some(listed) = answer["addrs"].as_array()
                && listed.len() == count
            {
                let parse = |value: &serde_json::Value| value.as_str()?.parse().ok();
                return listed.iter().filter_map(parse).collect();
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        panic!("{count} addresses were not named in {PATIENCE:?}");
    }

    /// Sends a request under a prefix; returns its id and the answer.
    pub(crate) async fn send(
        &mut self,
        entry: net::SocketAddr,
        prefix: &str,
    ) -> (String, reqwest::Result<reqwest::Response>) {
        self.next += 1;
        let id = format!("c{}", self.next);
        let request = self
            .http
            .get(format!("http://{entry}{prefix}{id}"))
            .header("host", "h.example")
            .header("x-request-id", &id)
            .header("x-deadline-ms", "3000");
        (id, request.send().await)
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
        let (id, answer) = self.send(entry, "/one/").await;
        let answer = answer.ok()?;
        let status = answer.status().as_u16();
        if status == 200 {
            assert_eq!(answer.headers()["x-request-id"], id.as_str());
            let stamp = answer.headers()["x-server-stamp"].to_str().expect("text");
            assert_eq!(stamp, format!("desk.{id}"));
            let body = answer.bytes().await.ok()?;
            let expected: Vec<_> = (0..5).map(|index| record("desk", &id, index)).collect();
            assert_eq!(body, expected.concat());
        }
        Some(status)
    }
}

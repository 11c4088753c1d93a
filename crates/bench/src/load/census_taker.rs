//! Reader of the searchers' counters.

use std::time;

use tokio::sync::watch;

use crate::{load, searcher};

/// Interval of readings during a run; the last one stands in for searchers that end.
const INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Longest wait for one searcher.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Searchers read at once.
const AT_ONCE: usize = 16;

/// Reads the counters of all searchers.
#[derive(Clone, Debug)]
pub struct CensusTaker {
    /// HTTP client.
    pub client: reqwest::Client,
    /// Searchers.
    pub listings: Vec<searcher::Listing>,
}

impl CensusTaker {
    /// Reads until told to finish, then once more.
    pub async fn run(
        self,
        mut census: load::Census,
        mut finish: watch::Receiver<bool>,
    ) -> load::Census {
        loop {
            tokio::select! {
                () = tokio::time::sleep(INTERVAL) => census.record(self.read().await),
                () = async { drop(finish.wait_for(|finish| *finish).await) } => break,
            }
        }
        census.record(self.read().await);
        census
    }

    /// Reads all searchers once.
    pub async fn read(&self) -> Vec<Option<searcher::Counters>> {
        let mut readings = Vec::new();
        for chunk in self.listings.chunks(AT_ONCE) {
            let mut reads = tokio::task::JoinSet::new();
            for listing in chunk {
                reads.spawn(read_one(self.client.clone(), listing.control));
            }
            readings.extend(reads.join_all().await);
        }
        readings
    }
}

async fn read_one(
    client: reqwest::Client,
    control: std::net::SocketAddr,
) -> Option<searcher::Counters> {
    let url = format!("http://{control}/control/counters");
    let response = client.get(url).timeout(TIMEOUT).send().await.ok()?;
    response.json().await.ok()
}

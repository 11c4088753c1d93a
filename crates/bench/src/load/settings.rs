//! Settings of a load run.

use std::{net, path, time};

use fireflyspool::outcome;

use crate::{duration_text, load, site};

/// What to send, to whom and how it is judged.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the run in reports.
    pub label: String,
    /// Deployment.
    pub site: site::Site,
    /// Entry addresses that callers know at first.
    pub seed_addresses: Vec<net::SocketAddr>,
    /// File with the key for commands.
    pub key_file: Option<path::PathBuf>,
    /// Name of the operator who sends commands.
    pub operator: String,
    /// Statements of the operator before the run.
    pub setup: Vec<String>,
    /// Time in which requests are sent.
    #[serde(with = "duration_text")]
    pub duration: time::Duration,
    /// Requests a second; the scale of the site leaves the rate that it can serve unchanged.
    pub rate: f64,
    /// Times with another rate.
    pub surges: Vec<load::Surge>,
    /// Seed of arrivals and request choice.
    pub seed: u64,
    /// Whether requests go to uniformly random seed addresses instead of the advised ones.
    pub baseline: bool,
    /// Simulated callers, each with its own address cache.
    pub callers: u32,
    /// Requests in progress; one that would exceed them is not sent and counts as unsent.
    pub in_flight: u32,
    /// Time after the deadline within which a response still counts as in time.
    #[serde(with = "duration_text")]
    pub tolerance: time::Duration,
    /// Time after the deadline for which a caller waits for a late response.
    #[serde(with = "duration_text")]
    pub patience: time::Duration,
    /// Time after a command in which tail latency is also reported by itself.
    #[serde(with = "duration_text")]
    pub change_window: time::Duration,
    /// Requests by weight.
    pub requests: Vec<load::Template>,
    /// Shard counts of index versions that may appear besides the site's first ones.
    pub versions: Vec<(outcome::Snapshot, u32)>,
    /// Scores.
    pub scores: Vec<load::Scoring>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            label: "load".to_owned(),
            site: site::Site::default(),
            seed_addresses: Vec::new(),
            key_file: None,
            operator: "load-tool".to_owned(),
            setup: Vec::new(),
            duration: time::Duration::from_secs(20),
            rate: 100.0,
            surges: Vec::new(),
            seed: 1,
            baseline: false,
            callers: 8,
            in_flight: 2_000,
            tolerance: time::Duration::from_millis(20),
            patience: time::Duration::from_secs(2),
            change_window: time::Duration::from_secs(5),
            requests: Vec::new(),
            versions: Vec::new(),
            scores: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not fit.
    pub fn read(path: &path::Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Ok(serde_saphyr::from_str(&text)?)
    }

    /// Requests a second at a moment of the run.
    pub fn rate_at(&self, offset: time::Duration) -> f64 {
        let surges = self.surges.iter().filter(|surge| surge.covers(offset));
        let factor: f64 = surges.map(|surge| surge.factor).product();
        self.rate * factor
    }

    /// Shard counts of all index versions that may appear.
    pub fn all_versions(&self) -> Vec<(outcome::Snapshot, u32)> {
        let mut versions = self.site.versions();
        versions.extend(self.versions.iter().cloned());
        versions
    }
}

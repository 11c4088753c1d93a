//! Report of a run.

use std::path;

use fireflyspool::sorted;

use crate::load;

/// Everything measured in a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Name of the run.
    pub label: String,
    /// Whether addresses of the tier were ignored.
    pub baseline: bool,
    /// Seed of arrivals and request choice.
    pub seed: u64,
    /// Begin, in milliseconds since the Unix epoch.
    pub began_ms: u64,
    /// Time in which requests were sent, in milliseconds.
    pub duration_ms: u64,
    /// Requests of the schedule.
    pub intended: u64,
    /// Requests not sent, by cause.
    pub unsent: sorted::SortedMap<String, u64>,
    /// Results by kind.
    pub kinds: Vec<load::KindReport>,
    /// Refusals by reason.
    pub refusals: sorted::SortedMap<String, u64>,
    /// Requests without a valid response, by cause.
    pub failures: sorted::SortedMap<String, u64>,
    /// Times that callers turned to another address.
    pub resends: u64,
    /// Responses verified.
    pub verified: u64,
    /// Wrong responses.
    pub wrong: u64,
    /// Faults of the first wrong responses.
    pub faults: Vec<String>,
    /// Counts of the searchers.
    pub searchers: load::SearcherReport,
    /// Steps of the scenario.
    pub events: Vec<load::EventReport>,
    /// Scores.
    pub scores: Vec<load::Score>,
}

impl Report {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is no report.
    pub fn read(path: &path::Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &path::Path) -> anyhow::Result<()> {
        Ok(std::fs::write(path, serde_json::to_vec_pretty(self)?)?)
    }
}

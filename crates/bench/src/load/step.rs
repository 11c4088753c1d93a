//! Step of a scenario.

use std::{path, time};

use crate::{duration_text, load};

/// Action at a time of the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Time from the start of the run.
    #[serde(with = "duration_text")]
    pub at: time::Duration,
    /// Action.
    #[serde(flatten)]
    pub action: load::StepAction,
}

impl Step {
    /// Reads a scenario: a YAML list of steps.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not fit.
    pub fn read(path: &path::Path) -> anyhow::Result<Vec<Self>> {
        let text = std::fs::read_to_string(path)?;
        let mut steps: Vec<Self> = serde_saphyr::from_str(&text)?;
        steps.sort_by_key(|step| step.at);
        Ok(steps)
    }
}

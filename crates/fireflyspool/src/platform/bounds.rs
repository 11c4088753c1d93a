//! Table `Bounds` of the settings file.

/// Limits that the platform sets for a process.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Bounds {
    /// Retries and hedges allowed per request, over all entry VMs.
    #[serde(rename = "RetryBudgetRatio", default = "default_ratio")]
    pub(super) retry_ratio: f64,
    /// Retries and hedges allowed in a window beyond the ratio.
    #[serde(rename = "BudgetSlack", default)]
    pub(super) retry_slack: f64,
    /// Length of that window in seconds.
    #[serde(rename = "RetryWindowS", default = "default_window")]
    pub(super) retry_window: f64,
    /// Seconds from the signal to stop until the process is killed.
    #[serde(rename = "GraceS", default = "default_grace")]
    pub(super) grace: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retry_ratio: default_ratio(),
            retry_slack: 0.0,
            retry_window: default_window(),
            grace: default_grace(),
        }
    }
}

/// Low enough for any installation that sets no ratio.
fn default_ratio() -> f64 {
    0.1
}

/// Window in seconds that all known installations use.
fn default_window() -> f64 {
    10.0
}

/// Shortest grace period in seconds of all known installations.
fn default_grace() -> f64 {
    6.0
}

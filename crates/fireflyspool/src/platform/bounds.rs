//! The platform's table of bounds.

/// Bounds that concern a running process.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub(super) struct Bounds {
    /// Repeated requests for each request, over all entry VMs.
    #[serde(rename = "RetryBudgetRatio", default = "default_ratio")]
    pub(super) repeat_ratio: f64,
    /// Repeated requests in a window beyond the ratio.
    #[serde(rename = "BudgetSlack", default)]
    pub(super) repeat_slack: f64,
    /// Length of that window in seconds.
    #[serde(rename = "RetryWindowS", default = "default_window")]
    pub(super) repeat_window: f64,
    /// Seconds from the request to stop until the process is killed.
    #[serde(rename = "GraceS", default = "default_grace")]
    pub(super) grace: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            repeat_ratio: default_ratio(),
            repeat_slack: 0.0,
            repeat_window: default_window(),
            grace: default_grace(),
        }
    }
}

/// Used where an installation sets no limit: little enough for any.
fn default_ratio() -> f64 {
    0.1
}

/// Window of all known installations.
fn default_window() -> f64 {
    10.0
}

/// Shortest grace of all known installations.
fn default_grace() -> f64 {
    6.0
}

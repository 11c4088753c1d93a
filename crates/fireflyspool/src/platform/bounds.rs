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
    /// Whether [`Self::revocation_ms`] binds.
    #[serde(rename = "StrictRevoke", default)]
    pub(super) strict_revocation: bool,
    /// Milliseconds after which a withdrawn key must not be of use anywhere.
    #[serde(rename = "RevokeMs", default = "default_revocation")]
    pub(super) revocation_ms: f64,
    /// Length in seconds of the window over which quotas are counted.
    #[serde(rename = "QuotaWindowS", default = "default_quota_window")]
    pub(super) quota_window: f64,
    /// Share of a quota by which a window may exceed it.
    #[serde(rename = "QuotaOvershoot", default)]
    pub(super) quota_overshoot: f64,
    /// Requests by which a window may exceed a quota beyond that share.
    #[serde(rename = "QuotaSlack", default)]
    pub(super) quota_slack: f64,
    /// Share of the requests of a service that the target version of a rollout may get.
    #[serde(rename = "ExposureShare", default = "default_exposure")]
    pub(super) exposure: f64,
    /// Requests that the target version may get beyond that share.
    #[serde(rename = "ExposureSlack", default = "default_exposure_slack")]
    pub(super) exposure_slack: f64,
    /// Milliseconds after which a bad version must get no more requests.
    #[serde(rename = "RollbackMs", default = "default_rollback")]
    pub(super) rollback_ms: f64,
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
            strict_revocation: false,
            revocation_ms: default_revocation(),
            quota_window: default_quota_window(),
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            exposure: default_exposure(),
            exposure_slack: default_exposure_slack(),
            rollback_ms: default_rollback(),
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

/// Milliseconds that all known installations use.
fn default_revocation() -> f64 {
    5_000.0
}

/// Share of the requests in a rollout that all known installations use.
fn default_exposure() -> f64 {
    0.1
}

/// Requests beyond that share that all known installations use.
fn default_exposure_slack() -> f64 {
    50.0
}

/// Milliseconds until a rollback binds that all known installations use.
fn default_rollback() -> f64 {
    5_000.0
}

/// Window of quotas in seconds that all known installations use.
fn default_quota_window() -> f64 {
    5.0
}

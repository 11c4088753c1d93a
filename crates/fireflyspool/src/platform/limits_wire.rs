//! Wire format of the limits on callers.

/// Limits on what callers may send.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct LimitsWire {
    #[serde(rename = "MaxHeaderBytes")]
    pub(super) head_bytes: usize,
    #[serde(rename = "MaxBodyBytes")]
    pub(super) body_bytes: usize,
    #[serde(rename = "IdleTimeoutMs")]
    pub(super) idle_ms: f64,
}

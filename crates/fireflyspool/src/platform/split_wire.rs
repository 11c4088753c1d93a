//! A part of a split on the wire.

/// Part of a split.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct SplitWire {
    #[serde(rename = "Backend", alias = "Name", alias = "Service")]
    pub(super) service: String,
    #[serde(rename = "Weight")]
    pub(super) weight: f64,
}

//! Wire format of one share of a traffic split.

/// Service and its share of the traffic, relative to the other weights.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct SplitWire {
    #[serde(rename = "Backend", alias = "Name", alias = "Service")]
    pub(super) service: String,
    #[serde(rename = "Weight")]
    pub(super) weight: f64,
}

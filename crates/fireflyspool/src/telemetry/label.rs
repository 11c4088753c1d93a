//! Label set of the labelled metrics.

/// Label set with the single label `name`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct Label {
    /// Outcome, reason, cause or other value that identifies the series.
    pub name: String,
}

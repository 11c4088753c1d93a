//! Label of a metric.

/// Label set with one label.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(prometheus_client::encoding::EncodeLabelSet)]
pub struct Label {
    /// Value that tells the series apart.
    pub name: String,
}

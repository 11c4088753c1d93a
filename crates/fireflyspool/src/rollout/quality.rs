//! How a response turned out.

/// Quality of a response, relative to what is usual on its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Quality {
    /// In the usual time.
    Good,
    /// A failure.
    Failed,
    /// Several times slower than usual.
    Slow,
}

//! Reasons for which a change is refused.

/// Why the catalog refuses a change; a refused change alters nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
#[serde(tag = "error", content = "detail", rename_all = "snake_case")]
pub enum ChangeError {
    /// The name is taken.
    #[error("{0} exists already")]
    Exists(String),
    /// The name is not known.
    #[error("{0} is not known")]
    Missing(String),
    /// A number is out of range.
    #[error("{0} is out of range")]
    OutOfRange(String),
    /// The object is in use.
    #[error("{0} is in use")]
    InUse(String),
    /// The index version is not above the existing ones.
    #[error("version {0} is not above the existing versions")]
    OldVersion(u64),
    /// The configuration key or its value is not valid.
    #[error("{0}")]
    InvalidValue(String),
    /// A list is longer than the catalog accepts.
    #[error("too many {0}")]
    TooMany(String),
}

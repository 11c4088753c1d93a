//! Request body of `/v1/query`.

use crate::ids;

/// A caller's statement and optional identifiers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// `search` or `submit` statement.
    pub statement: String,
    /// Request identifier; generated if absent.
    #[serde(default)]
    pub request: Option<ids::RequestId>,
    /// Name of the caller; keeps the address list that it gets stable.
    #[serde(default)]
    pub caller: Option<String>,
}

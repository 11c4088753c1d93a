//! Body of a caller's request.

use crate::ids;

/// Statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// `search` or `submit` statement.
    pub statement: String,
    /// Identifier of the request; drawn by the tier if absent.
    #[serde(default)]
    pub request: Option<ids::RequestId>,
    /// Name of the caller, which keeps its address answers stable.
    #[serde(default)]
    pub caller: Option<String>,
}

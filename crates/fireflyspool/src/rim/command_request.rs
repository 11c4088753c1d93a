//! Request body of `/v1/command`.

use crate::{ids, rim};

/// An operator's statement and the point at which to answer it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    /// Operator whose command numbers `number` belongs to.
    pub operator: ids::OperatorName,
    /// Command number; ignored for `show` statements.
    pub number: ids::CommandNumber,
    /// Text of the statement.
    pub statement: String,
    /// When to answer; by default once the command is accepted.
    #[serde(default)]
    pub wait: rim::CommandWait,
}

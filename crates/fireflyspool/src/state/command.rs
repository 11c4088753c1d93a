//! Command of an operator.

use crate::{ids, state};

/// A numbered request of an operator to change the control state.
///
/// Operator and number identify it. A resend carries the same content and gets
/// the recorded receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// Operator who issued it.
    pub operator: ids::OperatorName,
    /// Number that the operator gave to it.
    pub number: ids::CommandNumber,
    /// Revision that the operator's decision is based on; the command is refused if another change
    /// came first.
    #[serde(default)]
    pub expected: Option<ids::Revision>,
    /// What the command does.
    pub change: state::Operation,
}

//! Command of an operator.

use crate::{ids, state};

/// A numbered request of an operator to change the control state.
///
/// Operator and number identify it. A resend carries the same content and gets
/// the recorded receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// Operator who asks.
    pub operator: ids::OperatorName,
    /// Number that the operator gave to it.
    pub number: ids::CommandNumber,
    /// Revision that the operator decided on; the command is refused if another change came first.
    #[serde(default)]
    pub expected: Option<ids::Revision>,
    /// Content.
    pub change: state::Operation,
}

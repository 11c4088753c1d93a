//! Command of an operator.

use crate::{ids, language};

/// Order with the revision that the operator expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandStatement {
    /// What to do.
    pub order: language::Order,
    /// Revision on which the operator decided; the command is refused if it has changed.
    pub expected: Option<ids::Revision>,
}

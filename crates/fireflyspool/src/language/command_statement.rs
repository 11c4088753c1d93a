//! Operator command.

use crate::{ids, language};

/// Operation with the revision that the operator expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandStatement {
    /// Operation to run.
    pub operation: language::Operation,
    /// Revision that must be current, or the command is refused; `None` skips the check.
    pub expected: Option<ids::Revision>,
}

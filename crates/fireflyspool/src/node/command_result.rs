//! Result of a command for the replicated state.

use crate::state;

/// Result of a command, as its sender is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// A majority has committed the command and it is applied.
    Applied(state::IdempotentOutcome),
    /// No majority answered in time; the command may still be applied.
    Uncertain,
}

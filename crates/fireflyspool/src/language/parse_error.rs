//! Error of a statement that cannot be parsed.

/// Column and expectation of the first fault in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("column {column}: expected {expected}, found {found}")]
pub struct ParseError {
    /// Column of the fault in characters, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

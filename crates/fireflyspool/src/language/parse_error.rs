//! Syntax error in a statement.

/// First syntax error in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("column {column}: expected {expected}, found {found}")]
pub struct ParseError {
    /// Column of the error in characters, from 1.
    pub column: usize,
    /// Alternatives that would have been valid there, joined by " or ".
    pub expected: String,
    /// Word found there in quotes, or a description when there is none.
    pub found: String,
}

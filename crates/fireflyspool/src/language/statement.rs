//! Statement of any kind.

use crate::language;

/// Statement as parsed from one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Searches a collection.
    Search(language::SearchStatement),
    /// Submits a non-idempotent request.
    Submit(language::SubmitStatement),
    /// Changes the control state.
    Command(language::CommandStatement),
    /// Shows part of the state.
    Show(language::Show),
}

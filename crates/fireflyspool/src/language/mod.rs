//! Statement language for queries and commands.
//!
//! One statement is one line of text. [`parse`] turns it into a [`Statement`]
//! or a [`ParseError`] that names the column and what was expected there. The
//! grammar is documented in `docs/OPERATIONS.md`. The parser checks syntax only:
//! whether a collection exists or a revision matches is checked against the state.

mod command_parser;
mod command_statement;
mod lexical;
mod operation;
mod parse_error;
mod parser;
mod search_parser;
mod search_statement;
mod show;
mod statement;
mod submit_statement;

pub use command_statement::CommandStatement;
pub use operation::Operation;
pub use parse_error::ParseError;
pub use parser::parse;
pub use search_statement::SearchStatement;
pub use show::Show;
pub use statement::Statement;
pub use submit_statement::SubmitStatement;

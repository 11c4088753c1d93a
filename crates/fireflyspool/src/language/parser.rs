//! Entry point of the parser.

use winnow::{Parser, combinator, error};

use crate::language::{self, command_parser, lexical, search_parser};

/// Longest statement in bytes; longer ones are refused before parsing.
const MAX_STATEMENT: usize = 16 * 1024;

/// Parses one statement.
///
/// # Errors
///
/// Returns a [`language::ParseError`] with the column of the first fault and
/// what was expected there.
///
/// # Examples
///
/// ```
/// use fireflyspool::language;
///
/// let fault = language::parse("take out zone").unwrap_err();
/// assert_eq!(fault.column, 14);
/// assert_eq!(fault.expected, "the name of a zone");
/// ```
pub fn parse(text: &str) -> Result<language::Statement, language::ParseError> {
    if text.len() > MAX_STATEMENT {
        return Err(language::ParseError {
            column: 1,
            expected: format!("a statement of at most {MAX_STATEMENT} bytes"),
            found: format!("{} bytes", text.len()),
        });
    }
    let parsed = combinator::delimited(lexical::spaces, statement, end).parse(text);
    parsed.map_err(|failure| describe(text, failure.offset(), failure.inner()))
}

fn statement(input: &mut &str) -> Result<language::Statement, lexical::Failure> {
    combinator::alt((
        search_parser::search.map(language::Statement::Search),
        search_parser::submit.map(language::Statement::Submit),
        show.map(language::Statement::Show),
        command_parser::command.map(language::Statement::Command),
        combinator::fail.context(expected(
            "search, submit, create, alter, drop, define, take, bring, set, add, remove or show",
        )),
    ))
    .parse_next(input)
}

fn end(input: &mut &str) -> Result<(), lexical::Failure> {
    combinator::eof
        .void()
        .context(expected("the end of the statement or another option"))
        .parse_next(input)
}

fn show(input: &mut &str) -> Result<language::Show, lexical::Failure> {
    lexical::keyword("show").parse_next(input)?;
    let known = |found: &str| {
        language::Show::ALL
            .into_iter()
            .find(|show| show.name() == found)
    };
    combinator::cut_err(lexical::word.verify_map(known).context(expected(
        "zones, servers, collections, services, entries, members, configuration or history",
    )))
    .parse_next(input)
}

pub(super) fn expected(what: &'static str) -> error::StrContext {
    error::StrContext::Expected(error::StrContextValue::Description(what))
}

fn describe(text: &str, offset: usize, inner: &error::ContextError) -> language::ParseError {
    let before = text.get(..offset).unwrap_or(text);
    let rest = text.get(offset..).unwrap_or("").trim();
    let wanted = inner.context().filter_map(|context| match context {
        error::StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let found = match rest.split_whitespace().next() {
        Some(word) => format!("\"{}\"", word.chars().take(40).collect::<String>()),
        None => "the end of the statement".to_owned(),
    };
    language::ParseError {
        column: before.chars().count() + 1,
        expected: wanted.collect::<Vec<_>>().join(" or "),
        found,
    }
}

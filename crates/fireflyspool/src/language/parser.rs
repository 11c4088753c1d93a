//! Entry point of the statement parser.

use winnow::{Parser, combinator, error};

use crate::language::{self, command_parser, lexical, search_parser};

/// Longest statement; a longer one is refused before it is parsed.
const MAX_STATEMENT_BYTES: usize = 16 * 1024;

/// Parses one statement.
///
/// # Errors
///
/// Returns a [`language::ParseError`] with the column of the first syntax
/// error and what was expected there.
///
/// # Examples
///
/// ```
/// use fireflyspool::language;
///
/// let error = language::parse("take out zone").unwrap_err();
/// assert_eq!(error.column, 14);
/// assert_eq!(error.expected, "the name of a zone");
/// ```
pub fn parse(text: &str) -> Result<language::Statement, language::ParseError> {
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(language::ParseError {
            column: 1,
            expected: format!("a statement of at most {MAX_STATEMENT_BYTES} bytes"),
            found: format!("{} bytes", text.len()),
        });
    }
    let parsed = combinator::delimited(lexical::spaces, statement, end).parse(text);
    parsed.map_err(|failure| to_parse_error(text, failure.offset(), failure.inner()))
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
    let by_name = |found: &str| {
        language::Show::ALL
            .into_iter()
            .find(|show| show.name() == found)
    };
    combinator::cut_err(lexical::word.verify_map(by_name).context(expected(
        "zones, servers, collections, services, entries, members, configuration or history",
    )))
    .parse_next(input)
}

pub(super) fn expected(description: &'static str) -> error::StrContext {
    error::StrContext::Expected(error::StrContextValue::Description(description))
}

fn to_parse_error(text: &str, offset: usize, inner: &error::ContextError) -> language::ParseError {
    let prefix = text.get(..offset).unwrap_or(text);
    let rest = text.get(offset..).unwrap_or("").trim();
    let descriptions = inner.context().filter_map(|context| match context {
        error::StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let found = match rest.split_whitespace().next() {
        Some(word) => format!("\"{}\"", word.chars().take(40).collect::<String>()),
        None => "the end of the statement".to_owned(),
    };
    language::ParseError {
        column: prefix.chars().count() + 1,
        expected: descriptions.collect::<Vec<_>>().join(" or "),
        found,
    }
}

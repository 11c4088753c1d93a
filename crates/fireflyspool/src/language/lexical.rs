//! Words, strings, numbers and durations.

use std::time;

use winnow::{Parser, ascii, combinator, error, token};

/// Longest name of an object; names travel in every announcement and log line.
const MAX_NAME: usize = 128;

pub(super) type Failure = error::ErrMode<error::ContextError>;

pub(super) fn spaces(input: &mut &str) -> Result<(), Failure> {
    ascii::multispace0.void().parse_next(input)
}

/// Parses the exact word and the space after it.
pub(super) fn keyword<'s>(word: &'static str) -> impl Parser<&'s str, (), Failure> {
    combinator::terminated(raw_word.verify(move |found: &str| found == word), spaces)
        .void()
        .context(error::StrContext::Expected(word.into()))
}

/// Parses a word that must follow here; no alternative is tried after it fails.
pub(super) fn required<'s>(word: &'static str) -> impl Parser<&'s str, (), Failure> {
    combinator::cut_err(keyword(word))
}

/// Parses any word, which the caller tells apart.
pub(super) fn word<'s>(input: &mut &'s str) -> Result<&'s str, Failure> {
    combinator::terminated(raw_word, spaces).parse_next(input)
}

/// Parses one of the given words, which must follow here.
pub(super) fn choice<'s>(
    words: &'static [&'static str],
    what: &'static str,
) -> impl Parser<&'s str, &'static str, Failure> {
    let known = |found: &str| words.iter().copied().find(|word| *word == found);
    combinator::cut_err(
        combinator::terminated(raw_word.verify_map(known), spaces).context(
            error::StrContext::Expected(error::StrContextValue::Description(what)),
        ),
    )
}

/// Parses the name of an object.
pub(super) fn name<'s>(what: &'static str) -> impl Parser<&'s str, String, Failure> {
    combinator::cut_err(
        combinator::terminated(
            raw_word.verify(|found: &str| found.len() <= MAX_NAME),
            spaces,
        )
        .map(str::to_owned)
        .context(error::StrContext::Expected(
            error::StrContextValue::Description(what),
        )),
    )
}

/// Parses a whole number.
pub(super) fn number<'s, N>(what: &'static str) -> impl Parser<&'s str, N, Failure>
where
    N: std::str::FromStr,
{
    combinator::cut_err(
        combinator::terminated(
            raw_word.verify_map(|found: &str| found.parse().ok()),
            spaces,
        )
        .context(error::StrContext::Expected(
            error::StrContextValue::Description(what),
        )),
    )
}

/// Parses a duration with its unit, such as `800ms`.
pub(super) fn duration<'s>() -> impl Parser<&'s str, time::Duration, Failure> {
    let what = error::StrContextValue::Description("a duration with its unit, such as 800ms");
    combinator::cut_err(
        combinator::terminated(raw_word.try_map(humantime::parse_duration), spaces)
            .context(error::StrContext::Expected(what)),
    )
}

/// Parses a text in double quotes, in which `\"` and `\\` stand for themselves.
pub(super) fn text<'s>() -> impl Parser<&'s str, String, Failure> {
    let character = combinator::alt((
        token::none_of(['"', '\\']),
        combinator::preceded('\\', token::one_of(['"', '\\'])),
    ));
    let body = combinator::repeat(0.., character).fold(String::new, |mut text, character| {
        text.push(character);
        text
    });
    let what = error::StrContextValue::Description("a text in double quotes");
    combinator::cut_err(
        combinator::terminated(combinator::delimited('"', body, '"'), spaces)
            .context(error::StrContext::Expected(what)),
    )
}

fn raw_word<'s>(input: &mut &'s str) -> Result<&'s str, Failure> {
    let part = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '%' | '/');
    token::take_while(1.., part).parse_next(input)
}

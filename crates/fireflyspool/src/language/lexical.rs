//! Parsers of tokens: words, quoted texts, values and durations.

use std::time;

use winnow::{Parser, ascii, combinator, error, token};

/// Longest name of an object; names are part of every announcement and log line.
const MAX_NAME_BYTES: usize = 128;

pub(super) type Failure = error::ErrMode<error::ContextError>;

pub(super) fn spaces(input: &mut &str) -> Result<(), Failure> {
    ascii::multispace0.void().parse_next(input)
}

/// Parses the given word and the white space after it.
pub(super) fn keyword<'s>(word: &'static str) -> impl Parser<&'s str, (), Failure> {
    combinator::terminated(raw_word.verify(move |found: &str| found == word), spaces)
        .void()
        .context(error::StrContext::Expected(word.into()))
}

/// Parses a mandatory word; on a mismatch no alternative is tried.
pub(super) fn required<'s>(word: &'static str) -> impl Parser<&'s str, (), Failure> {
    combinator::cut_err(keyword(word))
}

/// Parses any word and the white space after it.
pub(super) fn word<'s>(input: &mut &'s str) -> Result<&'s str, Failure> {
    combinator::terminated(raw_word, spaces).parse_next(input)
}

/// Parses one of the given words; on a mismatch no alternative is tried.
pub(super) fn choice<'s>(
    words: &'static [&'static str],
    description: &'static str,
) -> impl Parser<&'s str, &'static str, Failure> {
    let by_text = |found: &str| words.iter().copied().find(|word| *word == found);
    combinator::cut_err(
        combinator::terminated(raw_word.verify_map(by_text), spaces).context(
            error::StrContext::Expected(error::StrContextValue::Description(description)),
        ),
    )
}

/// Parses the name of an object.
pub(super) fn name<'s>(description: &'static str) -> impl Parser<&'s str, String, Failure> {
    combinator::cut_err(
        combinator::terminated(
            raw_word.verify(|found: &str| found.len() <= MAX_NAME_BYTES),
            spaces,
        )
        .map(str::to_owned)
        .context(error::StrContext::Expected(
            error::StrContextValue::Description(description),
        )),
    )
}

/// Parses a word by its `FromStr`, such as a number or an address.
pub(super) fn value<'s, T>(description: &'static str) -> impl Parser<&'s str, T, Failure>
where
    T: std::str::FromStr,
{
    combinator::cut_err(
        combinator::terminated(
            raw_word.verify_map(|found: &str| found.parse().ok()),
            spaces,
        )
        .context(error::StrContext::Expected(
            error::StrContextValue::Description(description),
        )),
    )
}

/// Parses a duration with its unit, such as `800ms`.
pub(super) fn duration<'s>() -> impl Parser<&'s str, time::Duration, Failure> {
    let description =
        error::StrContextValue::Description("a duration with its unit, such as 800ms");
    combinator::cut_err(
        combinator::terminated(raw_word.try_map(humantime::parse_duration), spaces)
            .context(error::StrContext::Expected(description)),
    )
}

/// Parses a text in double quotes; `\"` and `\\` are the only escapes.
pub(super) fn text<'s>() -> impl Parser<&'s str, String, Failure> {
    let character = combinator::alt((
        token::none_of(['"', '\\']),
        combinator::preceded('\\', token::one_of(['"', '\\'])),
    ));
    let body = combinator::repeat(0.., character).fold(String::new, |mut text, character| {
        text.push(character);
        text
    });
    let description = error::StrContextValue::Description("a text in double quotes");
    combinator::cut_err(
        combinator::terminated(combinator::delimited('"', body, '"'), spaces)
            .context(error::StrContext::Expected(description)),
    )
}

fn raw_word<'s>(input: &mut &'s str) -> Result<&'s str, Failure> {
    let is_word_char =
        |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '%' | '/');
    token::take_while(1.., is_word_char).parse_next(input)
}

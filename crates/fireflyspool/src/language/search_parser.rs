//! Grammar of `search` and `submit` statements.

use std::time;

use winnow::{Parser, combinator};

use crate::{
    ids,
    language::{self, lexical, parser},
    outcome,
};

enum SearchOption {
    Kind(outcome::Kind),
    Within(time::Duration),
    Coverage(outcome::RequiredCoverage),
    Partial,
    Version(ids::IndexVersion),
    Limit(u32),
}

pub(super) fn search(input: &mut &str) -> Result<language::SearchStatement, lexical::Failure> {
    lexical::keyword("search").parse_next(input)?;
    let collection = lexical::name("the name of a collection").parse_next(input)?;
    lexical::required("through").parse_next(input)?;
    let service = lexical::name("the name of a service").parse_next(input)?;
    lexical::required("for").parse_next(input)?;
    let text = lexical::text().parse_next(input)?;
    let mut statement = language::SearchStatement {
        collection,
        service,
        text,
        kind: None,
        within: None,
        coverage: None,
        partial: false,
        version: None,
        limit: None,
    };
    while let Some(option) = combinator::opt(search_option).parse_next(input)? {
        if !statement.set(option) {
            return combinator::cut_err(combinator::fail)
                .context(parser::expected("each option once"))
                .parse_next(input);
        }
    }
    Ok(statement)
}

pub(super) fn submit(input: &mut &str) -> Result<language::SubmitStatement, lexical::Failure> {
    lexical::keyword("submit").parse_next(input)?;
    lexical::required("to").parse_next(input)?;
    let service = lexical::name("the name of a service").parse_next(input)?;
    lexical::required("id").parse_next(input)?;
    let request = lexical::name("a request id").parse_next(input)?;
    lexical::required("body").parse_next(input)?;
    let body = lexical::text().parse_next(input)?;
    let within = combinator::opt(combinator::preceded(
        lexical::keyword("within"),
        lexical::duration(),
    ))
    .parse_next(input)?;
    Ok(language::SubmitStatement {
        service,
        request,
        body,
        within,
    })
}

fn search_option(input: &mut &str) -> Result<SearchOption, lexical::Failure> {
    combinator::alt((
        combinator::preceded(lexical::keyword("kind"), kind).map(SearchOption::Kind),
        combinator::preceded(lexical::keyword("within"), lexical::duration())
            .map(SearchOption::Within),
        combinator::preceded(lexical::keyword("coverage"), coverage).map(SearchOption::Coverage),
        lexical::keyword("partial").map(|()| SearchOption::Partial),
        combinator::preceded(
            lexical::keyword("version"),
            lexical::value("an index version"),
        )
        .map(SearchOption::Version),
        combinator::preceded(
            lexical::keyword("limit"),
            lexical::value("a number of hits").verify(|limit| (1..=1_000).contains(limit)),
        )
        .map(SearchOption::Limit),
    ))
    .parse_next(input)
}

fn kind(input: &mut &str) -> Result<outcome::Kind, lexical::Failure> {
    let by_name = |found: &str| {
        outcome::Kind::ALL
            .into_iter()
            .find(|kind| kind.name() == found)
    };
    combinator::cut_err(
        lexical::word
            .verify_map(by_name)
            .context(parser::expected("urgent, interactive or deferrable")),
    )
    .parse_next(input)
}

fn coverage(input: &mut &str) -> Result<outcome::RequiredCoverage, lexical::Failure> {
    combinator::cut_err(
        lexical::word
            .verify_map(required_coverage)
            .context(parser::expected("full, any or a percentage such as 90%")),
    )
    .parse_next(input)
}

fn required_coverage(word: &str) -> Option<outcome::RequiredCoverage> {
    match word {
        "full" => Some(outcome::RequiredCoverage::Full),
        "any" => Some(outcome::RequiredCoverage::Any),
        _ => {
            let percent = word.strip_suffix('%')?.parse().ok()?;
            (percent <= 100).then_some(outcome::RequiredCoverage::AtLeast(percent))
        }
    }
}

impl language::SearchStatement {
    /// Sets an option; returns false if it was already set.
    fn set(&mut self, option: SearchOption) -> bool {
        match option {
            SearchOption::Kind(kind) => self.kind.replace(kind).is_none(),
            SearchOption::Within(within) => self.within.replace(within).is_none(),
            SearchOption::Coverage(coverage) => self.coverage.replace(coverage).is_none(),
            SearchOption::Partial => !std::mem::replace(&mut self.partial, true),
            SearchOption::Version(version) => self.version.replace(version).is_none(),
            SearchOption::Limit(limit) => self.limit.replace(limit).is_none(),
        }
    }
}

//! Command line.

mod arguments;
mod searcher_arguments;

pub(crate) use arguments::Arguments;
pub(crate) use searcher_arguments::SearcherArguments;

//! Command line.

mod arguments;
mod compare_arguments;
mod load_arguments;
mod searcher_arguments;

pub(crate) use arguments::Arguments;
pub(crate) use compare_arguments::CompareArguments;
pub(crate) use load_arguments::LoadArguments;
pub(crate) use searcher_arguments::SearcherArguments;

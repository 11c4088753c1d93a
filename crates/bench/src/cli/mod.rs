//! Command line.

mod arguments;
mod commands_arguments;
mod compare_arguments;
mod load_arguments;
mod searcher_arguments;

pub(crate) use arguments::Arguments;
pub(crate) use commands_arguments::CommandsArguments;
pub(crate) use compare_arguments::CompareArguments;
pub(crate) use load_arguments::LoadArguments;
pub(crate) use searcher_arguments::SearcherArguments;

//! Commands of the program.

use crate::cli;

/// Stand-in backend servers and the load tool.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(version)]
pub(crate) enum Arguments {
    /// Runs stand-in backend servers.
    Searcher(Box<cli::SearcherArguments>),
    /// Sends load and reports.
    Load(Box<cli::LoadArguments>),
    /// Prints the operator's commands that create the site of the load tool.
    Commands(cli::CommandsArguments),
    /// Puts two reports side by side.
    Compare(cli::CompareArguments),
}

impl Arguments {
    /// Runs the command.
    pub(crate) async fn run(self) -> anyhow::Result<()> {
        match self {
            Self::Searcher(arguments) => arguments.run().await,
            Self::Load(arguments) => arguments.run().await,
            Self::Commands(arguments) => arguments.run(),
            Self::Compare(arguments) => arguments.run(),
        }
    }
}

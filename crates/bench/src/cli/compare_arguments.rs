//! Flags of `compare`.

use std::path;

use fireflyspool_bench::load;

/// Puts two reports side by side.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct CompareArguments {
    /// First report.
    first: path::PathBuf,
    /// Second report.
    second: path::PathBuf,
}

impl CompareArguments {
    /// Prints the comparison.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        let first = load::Report::read(&self.first)?;
        let second = load::Report::read(&self.second)?;
        print!("{}", load::Table::of(&[&first, &second]));
        Ok(())
    }
}

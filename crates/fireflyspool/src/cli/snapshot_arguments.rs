//! Arguments of `snapshot`.

use std::path;

/// Subcommands of `snapshot`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub enum SnapshotArguments {
    /// Print the identity, vote, snapshot and log range of a data folder
    Inspect {
        /// Data folder
        folder: path::PathBuf,
        /// Print the summary as JSON
        #[arg(long)]
        json: bool,
    },
}

//! Arguments of `snapshot`.

use std::path;

/// What to do with a data folder.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub enum SnapshotArguments {
    /// Print identity, vote, snapshot and log range of a data folder
    Inspect {
        /// Data folder
        folder: path::PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
}

//! Arguments of `data`.

use std::path;

/// What to do with the data folder of the settings.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub enum DataArguments {
    /// Create the data folder that the settings name; once in the life of a VM
    Init {
        /// Settings file
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
        /// Join an existing control group instead of founding one
        #[arg(long)]
        join: bool,
    },
}

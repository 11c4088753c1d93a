//! Arguments of `data`.

use std::path;

/// Subcommands of `data`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub enum DataArguments {
    /// Create the data folder given in the settings; run once per VM
    Init {
        /// Settings file
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
        /// Join an existing control group instead of bootstrapping a new one
        #[arg(long)]
        join: bool,
    },
}

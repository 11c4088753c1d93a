//! Arguments of `command`.

use std::{net, path};

/// Arguments of an operator's command.
#[derive(Debug)]
#[derive(clap::Args)]
pub struct CommandArguments {
    /// Address of any VM of the site
    #[arg(long, value_name = "IP:PORT")]
    pub entry: net::SocketAddr,
    /// File with the shared key of the site
    #[arg(long, value_name = "FILE")]
    pub key_file: path::PathBuf,
    /// Name of the operator
    #[arg(long, default_value = "operator")]
    pub operator: String,
    /// Number of the command; a retry with the same number is not applied twice
    #[arg(long, value_name = "N")]
    pub number: Option<u64>,
    /// Wait until the command is in force on every entry VM
    #[arg(long)]
    pub wait: bool,
    /// Print the outcome as JSON
    #[arg(long)]
    pub json: bool,
    /// Statement, such as: take out zone b expecting revision 12
    pub statement: String,
}

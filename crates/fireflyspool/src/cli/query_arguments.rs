//! Arguments of `query`.

use std::net;

/// Arguments of a caller's request.
#[derive(Debug)]
#[derive(clap::Args)]
pub struct QueryArguments {
    /// Address of any entry VM; the request goes to the addresses that it returns
    #[arg(long, value_name = "IP:PORT")]
    pub entry: net::SocketAddr,
    /// Name of the caller; the same name gets a stable list of addresses
    #[arg(long, default_value = "cli")]
    pub caller: String,
    /// Print the outcome as JSON
    #[arg(long)]
    pub json: bool,
    /// Statement, such as: search dossiers through intake-desk for "lamp" within 800ms
    pub statement: String,
}

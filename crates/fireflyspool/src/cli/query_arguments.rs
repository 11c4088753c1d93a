//! Arguments of `query`.

use std::net;

/// A caller's request.
#[derive(Debug)]
#[derive(clap::Args)]
pub struct QueryArguments {
    /// Address of any entry VM; the request goes to the address that it names
    #[arg(long, value_name = "IP:PORT")]
    pub entry: net::SocketAddr,
    /// Name of the caller, which keeps its address answers stable
    #[arg(long, default_value = "cli")]
    pub caller: String,
    /// Print the outcome as JSON
    #[arg(long)]
    pub json: bool,
    /// Statement, such as: search dossiers through intake-desk for "lamp" within 800ms
    pub statement: String,
}

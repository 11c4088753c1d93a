//! Stand-in backend servers and the load tool of fireflyspool.

mod cli;

use clap::Parser as _;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    cli::Arguments::parse().run().await
}

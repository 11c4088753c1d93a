//! Subcommands and arguments of the binary.

use std::path;

use crate::{cli, telemetry};

/// Query tier over many shards.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(name = "fireflyspool", version, about, after_help = EXIT_CODES)]
pub enum Arguments {
    /// Run an entry VM, a control VM or both, according to the roles in the settings
    Serve {
        /// Settings file
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
        /// Lowest severity that is logged
        #[arg(long, value_enum, default_value_t)]
        log_level: telemetry::LogLevel,
    },
    /// Check a settings file and print the effective settings
    Check {
        /// Settings file
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
    },
    /// Search a collection or submit a request, as a caller
    Query(cli::QueryArguments),
    /// Run an operator's command or show part of the control state
    Command(cli::CommandArguments),
    /// Print the addresses that a caller of a service should use
    Addresses {
        /// Address of any entry VM
        #[arg(long, value_name = "IP:PORT")]
        entry: std::net::SocketAddr,
        /// Service that the caller sends requests to
        #[arg(long)]
        service: String,
        /// Name of the caller; the same name gets a stable list of addresses
        #[arg(long, default_value = "cli")]
        caller: String,
    },
    /// Create the data folder of a control VM
    #[command(subcommand)]
    Data(cli::DataArguments),
    /// Print all log lines about one request, sorted by time
    Explain {
        /// Id of the request
        request: String,
        /// Log files, from any number of VMs
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
    /// Run a process on the users' platform
    #[command(subcommand)]
    Platform(cli::PlatformArguments),
    /// Inspect a data folder
    #[command(subcommand)]
    Snapshot(cli::SnapshotArguments),
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done; for a query: complete
  1  failed, for the reason on standard error
  2  command line, settings or statement invalid
  3  refused, and nothing ran
  4  partial answer
  5  outcome unknown; the request may have run
  6  lost a race with another operator, or the number was used before
  7  a shutdown cut requests short";

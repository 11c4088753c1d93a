//! Arguments of the binary.

use std::path;

use crate::{cli, telemetry};

/// Query tier over many shards.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(name = "fireflyspool", version, about, after_help = EXIT_CODES)]
pub enum Arguments {
    /// Run an entry VM, a control VM or both, as the settings say
    Serve {
        /// Settings file
        #[arg(long, value_name = "FILE")]
        settings: path::PathBuf,
        /// Least severity of log lines
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
    /// Run an operator's command or show part of the state
    Command(cli::CommandArguments),
    /// Ask which addresses a caller of a service should use
    Addresses {
        /// Address of any entry VM
        #[arg(long, value_name = "IP:PORT")]
        entry: std::net::SocketAddr,
        /// Service that the caller uses
        #[arg(long)]
        service: String,
        /// Name of the caller, which keeps its answers stable
        #[arg(long, default_value = "cli")]
        caller: String,
    },
    /// Create the data folder of a control VM
    #[command(subcommand)]
    Data(cli::DataArguments),
    /// Print what logs say about one request, in the order of time
    Explain {
        /// Id of the request
        request: String,
        /// Log files of any VMs
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
    /// Run a process on the users' platform
    #[command(subcommand)]
    Platform(cli::PlatformArguments),
    /// Look into a data folder
    #[command(subcommand)]
    Snapshot(cli::SnapshotArguments),
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done; for a query: complete
  1  failed, for the reason on standard error
  2  command line, settings or statement not valid
  3  refused, and nothing ran
  4  partial answer
  5  outcome unknown; the request may have run
  6  lost a race with another operator, or the number was used before
  7  a shutdown cut requests short";

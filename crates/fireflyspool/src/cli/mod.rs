//! The command-line interface.
//!
//! One binary contains the server (`serve`, `platform`), the preparation before
//! its first start (`check`, `data`), the clients for callers and operators
//! (`query`, `command`, `addresses`), and tools that read logs and data folders
//! (`explain`, `snapshot`). Exit codes are part of the interface and
//! listed in [`ExitCode`].

mod arguments;
mod client;
mod client_error;
mod command_arguments;
mod data_arguments;
mod data_folder;
mod exit_code;
mod explain;
mod platform_arguments;
mod query_arguments;
mod render;
mod requests;
mod run;
mod serve;
mod snapshot_arguments;

pub use arguments::Arguments;
pub use client::Client;
pub use client_error::ClientError;
pub use command_arguments::CommandArguments;
pub use data_arguments::DataArguments;
pub use exit_code::ExitCode;
pub use platform_arguments::PlatformArguments;
pub use query_arguments::QueryArguments;
pub use run::run;
pub use snapshot_arguments::SnapshotArguments;

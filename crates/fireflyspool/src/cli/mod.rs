//! The command line.
//!
//! One binary holds the server (`serve`), the checks an operator runs before
//! it starts (`check`, `data`), and the clients of callers and operators
//! (`query`, `command`, `addresses`). Exit codes are part of the interface and
//! listed in [`ExitCode`].

mod arguments;
mod asking;
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

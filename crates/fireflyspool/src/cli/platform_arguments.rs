//! Arguments of `platform`.

/// Subcommands of `platform`; an environment variable names the settings file.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Subcommand)]
pub enum PlatformArguments {
    /// Run an entry VM, which serves callers
    Entry {
        /// During a shortage of capacity, admit requests by priority, deadline and cost
        #[arg(long)]
        rank_requests: bool,
    },
    /// Run a control VM, which needs a disk
    Control,
}

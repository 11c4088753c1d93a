//! Arguments of `platform`.

/// Subcommands of `platform`; an environment variable names the settings file.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Subcommand)]
pub enum PlatformArguments {
    /// Run an entry VM, which serves callers
    Entry,
    /// Run a control VM, which needs a disk
    Control,
}

//! Arguments of `platform`.

/// Which process to run; its settings file is named by the environment.
#[derive(Clone, Copy, Debug)]
#[derive(clap::Subcommand)]
pub enum PlatformArguments {
    /// Run an entry VM, which serves callers
    Entry,
    /// Run a control VM, which needs a disk
    Control,
}

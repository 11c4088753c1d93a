//! Error of the platform adapter.

use std::{io, path};

/// Why a process cannot be set up on the platform, or why a message is refused.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// This environment variable, which names the settings file, is not set.
    #[error("the environment variable {0} is not set")]
    NoSettings(&'static str),
    /// The settings file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Settings file.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings file is not valid TOML or has an unsuitable value.
    #[error("{path} is not valid")]
    Parse {
        /// Settings file.
        path: path::PathBuf,
        /// Error of the parser, with its position.
        source: Box<toml::de::Error>,
    },
    /// A setting is missing or cannot be used.
    #[error("setting `{name}`: {detail}")]
    Setting {
        /// Name in the settings file.
        name: &'static str,
        /// Why the value cannot be used.
        detail: String,
    },
    /// A message cannot be decoded.
    #[error("the message cannot be read: {0}")]
    Message(#[from] serde_json::Error),
    /// A field of a message cannot be used.
    #[error("field `{name}`: {detail}")]
    Field {
        /// Name on the wire.
        name: &'static str,
        /// Why the value cannot be used.
        detail: String,
    },
}

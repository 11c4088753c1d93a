//! Errors from loading settings or the shared key.

use std::{io, path};

use crate::settings;

/// Error from loading a settings file or a key file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The settings or key file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not YAML.
    #[error("{} is not valid YAML: {message}", path.display())]
    Syntax {
        /// Path of the file.
        path: path::PathBuf,
        /// Message of the YAML library.
        message: String,
    },
    /// The file is valid YAML but its content has faults.
    #[error("{} faults in {}", faults.len(), path.display())]
    Invalid {
        /// Path of the file.
        path: path::PathBuf,
        /// All faults of the file.
        faults: Vec<settings::Fault>,
    },
    /// The mode of the key file lets users other than its owner read it.
    #[error("{} may be read by others than its owner; set its mode to 0600", path.display())]
    ExposedKey {
        /// Path of the key file.
        path: path::PathBuf,
    },
    /// The key is short enough to be guessed.
    #[error("the key in {} is shorter than {minimum} characters", path.display())]
    ShortKey {
        /// Path of the key file.
        path: path::PathBuf,
        /// Minimum length of a key in bytes.
        minimum: usize,
    },
}

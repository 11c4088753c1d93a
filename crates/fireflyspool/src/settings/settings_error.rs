//! Errors of reading settings.

use std::{io, path};

use crate::settings;

/// Why settings cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// File that was named.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not YAML.
    #[error("{} is not valid YAML: {message}", path.display())]
    Syntax {
        /// File that was named.
        path: path::PathBuf,
        /// Message of the YAML library.
        message: String,
    },
    /// The file is YAML but its content has faults.
    #[error("{} faults in {}", faults.len(), path.display())]
    Invalid {
        /// File that was named.
        path: path::PathBuf,
        /// All faults.
        faults: Vec<settings::Fault>,
    },
    /// Others may read the key file.
    #[error("{} may be read by others than its owner; set its mode to 0600", path.display())]
    ExposedKey {
        /// Key file that was named.
        path: path::PathBuf,
    },
    /// The key is too short to protect anything.
    #[error("the key in {} is shorter than {least} characters", path.display())]
    ShortKey {
        /// Key file that was named.
        path: path::PathBuf,
        /// Least length.
        least: usize,
    },
}

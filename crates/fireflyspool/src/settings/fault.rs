//! Fault in a settings file.

use std::fmt;

/// Invalid, missing or unknown key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the key, such as `control[1].rpc`.
    pub path: String,
    /// What is wrong and, where it helps, what was expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

//! Text of a configuration.

use std::sync;

use crate::ids;

/// Configuration as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Version that the text declares.
    pub version: ids::ConfigVersion,
    /// Text, kept byte for byte.
    pub text: sync::Arc<str>,
}

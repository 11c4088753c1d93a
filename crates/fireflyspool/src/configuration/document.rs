//! Text of a configuration.

use std::{fmt, sync};

use crate::ids;

/// Configuration as its operator sent it.
#[derive(Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Version that the text declares.
    pub version: ids::ConfigVersion,
    /// Text, kept byte for byte.
    pub text: sync::Arc<str>,
}

/// Leaves the text out, because it holds the keys of client accounts.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Document");
        debug.field("version", &self.version);
        debug.field("bytes", &self.text.len()).finish()
    }
}

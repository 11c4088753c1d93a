//! Decoding of configuration texts.

use crate::configuration;

/// Format of the operator's configuration texts.
pub trait Format: Send + Sync {
    /// Decodes a text.
    ///
    /// # Errors
    ///
    /// Returns [`configuration::ConfigurationError::Unreadable`] if the text
    /// is not in this format.
    fn decode(
        &self,
        text: &str,
    ) -> Result<configuration::Configuration, configuration::ConfigurationError>;
}

//! Format of the operators' configurations.

use crate::configuration;
use crate::platform::configuration_wire;

/// Decodes the JSON configurations of the platform's operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigurationFormat;

impl configuration::Format for ConfigurationFormat {
    fn decode(
        &self,
        text: &str,
    ) -> Result<configuration::Configuration, configuration::ConfigurationError> {
        let wire: configuration_wire::ConfigurationWire =
            serde_json::from_str(text).map_err(|error| {
                configuration::ConfigurationError::Unreadable {
                    detail: error.to_string(),
                }
            })?;
        wire.configuration()
    }
}

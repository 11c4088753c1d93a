//! Wire format of a client account.

use crate::{configuration, ids};

/// Client account of a configuration, which the wire calls a tenant.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct AccountWire {
    name: ids::AccountName,
    /// Keys in plain text. Any JSON value is read here: an error of the decoder would quote it.
    #[serde(rename = "ApiKeys", default)]
    keys: serde_json::Value,
    #[serde(default)]
    priority: Option<f64>,
    #[serde(rename = "RatePerS", default)]
    rate: Option<f64>,
    #[serde(rename = "BurstSize", default)]
    burst: Option<f64>,
}

impl AccountWire {
    /// Decodes an entry of the list of accounts without quoting it in an error.
    pub(super) fn decode(
        entry: serde_json::Value,
    ) -> Result<configuration::Account, configuration::ConfigurationError> {
        let wire: Self = serde_json::from_value(entry).map_err(|_| {
            let detail = "an entry of Tenants has a field that is missing or of another type";
            configuration::ConfigurationError::Unreadable {
                detail: detail.to_owned(),
            }
        })?;
        wire.account()
    }

    fn account(self) -> Result<configuration::Account, configuration::ConfigurationError> {
        if !is_header_text(&self.name) {
            let account = self.name.escape_default().to_string();
            return Err(configuration::ConfigurationError::InvalidName { account });
        }
        let listed = match self.keys {
            serde_json::Value::Null => Vec::new(),
            serde_json::Value::Array(keys) => keys,
            other => vec![other],
        };
        let mut keys = Vec::with_capacity(listed.len());
        for (index, key) in listed.iter().enumerate() {
            let key = key.as_str().filter(|key| is_token(key));
            let Some(key) = key else {
                return Err(configuration::ConfigurationError::InvalidKey {
                    account: self.name,
                    number: index + 1,
                });
            };
            keys.push(configuration::KeyDigest::of(key.as_bytes()));
        }
        Ok(configuration::Account {
            name: self.name,
            keys,
            priority: self.priority.map(|priority| priority as u32),
            rate: self.rate.unwrap_or(0.0),
            burst: self.burst.unwrap_or(0.0),
        })
    }
}

/// Whether a text can be the value of a header.
fn is_header_text(text: &str) -> bool {
    text.trim() == text && http::HeaderValue::from_str(text).is_ok()
}

/// Whether a text is a key: visible ASCII without spaces, so that it is one word of a header.
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

//! Payload of the replicated log.

use crate::{ids, state};

/// Beginning of the payload of each entry that carries a configuration. It spares decoding the
/// others.
const CONFIGURE_PREFIX: &[u8] = br#"{"order":{"configure":"#;

/// One entry of the replicated log as the control state applies it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Command of an operator.
    Command {
        /// Command as the operator sent it.
        command: state::Command,
        /// Time at the leader, in milliseconds since the Unix epoch.
        stamped: u64,
    },
    /// Claims of non-idempotent requests that are about to be sent.
    Claims(Vec<state::Claim>),
    /// Outcomes of claimed requests.
    ClaimOutcomes(Vec<state::ClaimOutcome>),
    /// Command that may be repeated without a number.
    #[serde(rename = "order")]
    Idempotent(state::IdempotentCommand),
}

impl Entry {
    /// Payload for the replicated log.
    pub fn encode(&self) -> Vec<u8> {
        // No field has a fallible serializer or a map with other than string keys.
        serde_json::to_vec(self).expect("an entry has a JSON form")
    }

    /// Reads a payload made by [`Self::encode`].
    ///
    /// # Errors
    ///
    /// Returns a [`state::DecodeError`] if the bytes are no such payload.
    pub fn decode(bytes: &[u8]) -> Result<Self, state::DecodeError> {
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Version of the configuration that a payload carries, if it carries one.
    ///
    /// # Errors
    ///
    /// Returns a [`state::DecodeError`] if a configuration cannot be read.
    pub fn configured_version(
        bytes: &[u8],
    ) -> Result<Option<ids::ConfigVersion>, state::DecodeError> {
        if !bytes.starts_with(CONFIGURE_PREFIX) {
            return Ok(None);
        }
        Ok(match Self::decode(bytes)? {
            Self::Idempotent(state::IdempotentCommand::Configure(document)) => {
                Some(document.version)
            }
            _ => None,
        })
    }
}

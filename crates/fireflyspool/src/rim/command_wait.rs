//! What an operator waits for.

/// Point in the life of a command at which it is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandWait {
    /// A majority has synced it.
    #[default]
    Accepted,
    /// Every entry VM acts on it.
    InForce,
}

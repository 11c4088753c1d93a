//! When a command is answered.

/// Stage that a command must reach before the operator gets an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandWait {
    /// A majority of the replicas has synced it to disk.
    #[default]
    Accepted,
    /// Every entry VM applies it.
    InForce,
}

//! State of a rollout in progress.

/// Both versions serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct InService {
    /// Share of the first attempts that the target version gets, in permille.
    pub share: u32,
}

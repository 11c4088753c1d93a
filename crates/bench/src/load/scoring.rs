//! Weights of a score.

use crate::load;

/// How one user judges a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scoring {
    /// User.
    pub user: String,
    /// Weight of the share of requests answered in time.
    pub answered: f64,
    /// Weight of the covered share of shards.
    pub coverage: f64,
    /// Weight of tail latency.
    pub tail: f64,
    /// Weight of tail latency after commands.
    pub change_tail: f64,
    /// Points lost for every wrong answer.
    pub wrong: f64,
    /// Weight of each kind.
    pub kinds: load::KindWeights,
    /// Tail latency of each kind, in milliseconds, that earns full points.
    pub targets_ms: load::KindWeights,
}

//! One number for each kind.

use fireflyspool::outcome;

/// Number for each kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindWeights {
    /// For urgent requests.
    pub urgent: f64,
    /// For interactive requests.
    pub interactive: f64,
    /// For deferrable requests.
    pub deferrable: f64,
}

impl KindWeights {
    /// Number of a kind.
    pub fn of(&self, kind: outcome::Kind) -> f64 {
        match kind {
            outcome::Kind::Urgent => self.urgent,
            outcome::Kind::Interactive => self.interactive,
            outcome::Kind::Deferrable => self.deferrable,
        }
    }
}

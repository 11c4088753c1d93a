//! What a decision depends on besides the counts.

use std::time;

/// Situation of a rollout at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// Time since the command by the clock of the log.
    pub elapsed: time::Duration,
    /// Backend servers of the target version that serve.
    pub servers: usize,
}

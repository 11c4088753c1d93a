//! Counts of responses.

use crate::rollout;

/// Number of responses by quality.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Responses in the usual time.
    #[serde(rename = "g")]
    pub good: u64,
    /// Failures.
    #[serde(rename = "f")]
    pub failed: u64,
    /// Responses that were several times slower than usual.
    #[serde(rename = "s")]
    pub slow: u64,
}

impl Counts {
    /// Counts a response.
    pub fn add(&mut self, quality: rollout::Quality) {
        match quality {
            rollout::Quality::Good => self.good += 1,
            rollout::Quality::Failed => self.failed += 1,
            rollout::Quality::Slow => self.slow += 1,
        }
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// What was counted since `former`.
    pub fn since(&self, former: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(former.good),
            failed: self.failed.saturating_sub(former.failed),
            slow: self.slow.saturating_sub(former.slow),
        }
    }

    /// Number of responses.
    pub fn total(&self) -> u64 {
        self.good + self.failed + self.slow
    }
}

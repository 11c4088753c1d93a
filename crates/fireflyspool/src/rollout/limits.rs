//! Bounds of rollouts.

use std::time;

/// Part of the allowed exposure that is used. Each entry VM rounds its share, and the requests
/// of the last moments may be fewer than those before.
const USED_PART: f64 = 0.8;

/// Bounds that the settings state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of the requests of a service that the target version may get.
    pub exposure: f64,
    /// Requests that it may get beyond that share.
    pub slack: f64,
    /// Time after which a version that was found bad must get no more requests.
    pub rollback: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            exposure: 0.1,
            slack: 50.0,
            rollback: time::Duration::from_secs(5),
        }
    }
}

impl Limits {
    /// Shares of the stages of a rollout in permille, ascending.
    ///
    /// A version that is bad at once fails few requests in the first stage.
    pub fn stages(&self) -> [u32; 3] {
        let most = (self.exposure.clamp(0.0, 1.0) * USED_PART * 1_000.0) as u32;
        [most / 4, most / 2, most].map(|share| share.max(1))
    }
}

//! What a request can expect from the backend servers.

use std::time;

/// Share of recent attempts that backend servers rejected or failed above which capacity
/// counts as short. Isolated restarts and pauses stay below it.
const SHORTAGE_REJECTIONS: f64 = 0.12;

/// Share of recent responses that stated a queue as long as all slots of their server, above
/// which capacity counts as short.
const SHORTAGE_QUEUES: f64 = 0.5;

/// State of the backend servers, and what it means for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Share of this VM's recent attempts that backend servers rejected or failed, 0 to 1.
    pub rejections: f64,
    /// Share of their recent responses that stated a full queue, 0 to 1.
    pub queues: f64,
    /// Probability that the request gets enough responses, 0 to 1.
    pub chance: f64,
    /// When the request should be answered; a later answer is late.
    pub objective: time::Instant,
    /// Random number of this request.
    pub entropy: u64,
}

impl Forecast {
    /// Whether capacity is short.
    pub fn is_shortage(&self) -> bool {
        is_shortage(self.rejections, self.queues)
    }

    /// Random number from 0 to 1.
    pub(super) fn random(&self) -> f64 {
        (self.entropy >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Random number from 0 to 1, independent of [`Self::random`].
    pub(super) fn second_random(&self) -> f64 {
        (self.entropy & 0x7ff) as f64 / 2_048.0
    }
}

/// Whether these shares mean that capacity is short.
pub(crate) fn is_shortage(rejections: f64, queues: f64) -> bool {
    rejections > SHORTAGE_REJECTIONS || queues > SHORTAGE_QUEUES
}

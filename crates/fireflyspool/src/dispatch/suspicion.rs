//! Suspicion against one fingerprint.

use std::time;

use crate::dispatch::crash;

/// Crashes during attempts with one fingerprint, and when they stop to count.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) crashes: Vec<crash::Crash>,
    pub(super) until: time::Instant,
}

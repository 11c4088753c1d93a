//! Suspicion against one content.

use std::time;

use crate::dispatch::crash;

/// Crashes under one content, with the end of the suspicion.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) crashed: Vec<crash::Crash>,
    pub(super) until: time::Instant,
}

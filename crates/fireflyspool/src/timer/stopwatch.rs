//! Elapsed time that includes suspensions of the machine.

use std::time;

use crate::timer;

/// Measures how old something is for others, who are not suspended with this machine.
///
/// [`time::Instant`] stands still while a machine is suspended, so a timeout that uses it can
/// end long after its caller has given up.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    started: time::Duration,
}

impl Stopwatch {
    /// Starts a measurement.
    pub fn start() -> Self {
        Self {
            started: timer::boot_time(),
        }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> time::Duration {
        timer::boot_time().saturating_sub(self.started)
    }
}

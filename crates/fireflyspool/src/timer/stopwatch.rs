//! Elapsed time that includes suspensions of the machine.

use std::time;

use rustix::time as clocks;

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
            started: since_boot(),
        }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> time::Duration {
        since_boot().saturating_sub(self.started)
    }
}

fn since_boot() -> time::Duration {
    let now = clocks::clock_gettime(clocks::ClockId::Boottime);
    // The clock starts at zero and does not go back.
    time::Duration::try_from(now).unwrap_or_default()
}

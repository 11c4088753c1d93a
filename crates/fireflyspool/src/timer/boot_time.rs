//! Clock that includes suspensions of the machine.

use std::time;

use rustix::time as clocks;

/// Time since the machine was started, suspensions included.
///
/// [`time::Instant`] stands still while a machine is suspended, so it cannot tell how old
/// something is for others, who are not suspended with this machine.
pub fn boot_time() -> time::Duration {
    let now = clocks::clock_gettime(clocks::ClockId::Boottime);
    // The clock starts at zero and does not go back.
    time::Duration::try_from(now).unwrap_or_default()
}

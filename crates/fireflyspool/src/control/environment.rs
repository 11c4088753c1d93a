//! Time and chance, as the control thread sees them.

use std::time;

/// What the control thread needs from its process beside the network.
pub trait Environment {
    /// Raises [`crate::control::Event::Timer`] at that time; replaces an earlier call.
    fn wake_at(&self, at: time::Instant);

    /// A random number.
    fn entropy(&self) -> u64;

    /// Milliseconds since the Unix epoch.
    fn wall_clock(&self) -> u64;
}

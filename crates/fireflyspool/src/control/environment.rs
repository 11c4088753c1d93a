//! Clock, timer and random numbers of the control thread.

use std::time;

/// Sources of time and randomness, which tests replace.
pub trait Environment {
    /// Schedules [`crate::control::Event::Timer`] for that time and cancels any earlier schedule.
    fn wake_at(&self, at: time::Instant);

    /// A random number.
    fn entropy(&self) -> u64;

    /// Milliseconds since the Unix epoch.
    fn wall_clock(&self) -> u64;
}

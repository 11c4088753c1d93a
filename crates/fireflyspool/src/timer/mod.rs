//! Timer service that runs callbacks at deadlines.
//!
//! One thread holds all deadlines in a sorted map and sleeps on a condition
//! variable until the earliest one. A subscriber hands in a deadline and a
//! callback; the callback may only pass on a message (for example to the
//! control thread's mailbox), because it runs on the timer thread.
//!
//! State machines do not use this module: they return the time at which they
//! want to be called again, and their drivers subscribe here.

mod alarm;
mod boot_time;
mod sleep;
mod stopwatch;
mod timer_service;
mod timer_token;

pub use alarm::Alarm;
pub use boot_time::boot_time;
pub use sleep::Sleep;
pub use stopwatch::Stopwatch;
pub use timer_service::TimerService;
pub use timer_token::TimerToken;

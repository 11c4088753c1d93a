//! Timer service that other parts subscribe to.
//!
//! One thread holds all deadlines in a sorted map and sleeps on a condition
//! variable until the earliest one. A subscriber hands in a deadline and a
//! callback; the callback must only pass a message on (for example to the
//! control thread's mailbox), because it runs on the timer thread.
//!
//! Decision code never sees this module: it returns the time at which it wants
//! to be called again, and its driver subscribes here.

mod alarm;
mod sleep;
mod timer_service;
mod timer_token;

pub use alarm::Alarm;
pub use sleep::Sleep;
pub use timer_service::TimerService;
pub use timer_token::TimerToken;

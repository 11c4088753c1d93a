//! The entry VM's side of following a hub.
//!
//! A [`Follower`] polls one control VM, preferably of its own zone, and moves to
//! another one when a poll fails or when the control VM has lost the majority.
//! What it learns only moves forward: a configuration is replaced by a higher
//! version, zones by a higher revision, and a backend server by a record that
//! is at least as new, so a control VM that lags cannot turn anything back.
//!
//! When no control VM answers, the last view stays in use.

mod follower;
mod poll;

pub use follower::Follower;
pub use poll::Poll;

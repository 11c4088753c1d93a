//! Following of a hub by an entry VM.
//!
//! A [`Follower`] polls one control VM, preferably of its own zone, and moves to
//! another one when a poll fails or when the control VM has lost the majority. It keeps
//! its position in the changes of each, so that one it returns to sends what is new.
//! Its view never goes back: a configuration is replaced only by a higher
//! version, zones only by a higher revision, and a backend server only by a
//! record that is at least as new, so a control VM that lags cannot revert
//! anything.
//!
//! When no control VM replies, the last view stays in use.

mod contents;
mod follower;
mod hub_choice;
mod poll;

pub use follower::Follower;
pub use poll::Poll;

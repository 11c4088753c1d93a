//! Lease of an entry VM.
//!
//! A [`Holder`] renews the lease of one process, keeps its catalog and roster
//! up to date and decides which backend servers it may act on. The lease is
//! counted from the time at which a request was sent, so it ends before the
//! leader takes it for ended.
//!
//! Replies are handled in the order of their requests; a late reply to an
//! earlier request and a reply of an earlier term are ignored. A reply whose
//! changes leave a gap does not extend the lease, and the next request asks for
//! the whole catalog or roster.
//!
//! When the lease ends, all ownership ends with it and only a new grant brings
//! it back. Traffic threads need no notice of that, because every
//! [`crate::view::View`] carries the end of its lease.
//!
//! Coordinators warn all members of contents that crash backend servers
//! ([`Holder::add_warning`]); a warning is in the view until the roster names the crash.
//!
//! # Driver
//!
//! The control thread calls [`Holder::request`] once per renewal interval and
//! whenever [`Holder::handle_announcement`] or [`Effect::renew`] asks for it, notes the
//! time right before it sends the request, and passes that time to
//! [`Holder::reply`]. If [`Effect::publish`] is set it publishes
//! [`Holder::view`] before the next request, because a request confirms the
//! revision that is in force here. It asks the traffic side to close the
//! connections to [`Holder::to_release`], calls [`Holder::mark_released`] for each
//! and renews at once, since the next owner waits for that.

mod catalog_copy;
mod config;
mod effect;
mod hearing;
mod hold;
mod holder;
mod holder_crashes;
mod holds;
mod replica;
mod reports;
mod warned;
mod warnings;

pub use config::Config;
pub use effect::Effect;
pub use holder::Holder;

//! Lease of an entry VM.
//!
//! A [`Holder`] renews the lease of one process, keeps its catalog and roster
//! up to date and decides to which backend servers it may send work. The lease is
//! counted from the time at which a request was sent, so it expires at the holder
//! before it does at the leader.
//!
//! Replies are handled in the order of their requests; a late reply to an
//! earlier request and a reply of an earlier term are ignored. A reply whose
//! changes do not follow the local copy without a gap does not extend the lease, and
//! the next request asks for the whole catalog or roster.
//!
//! When the lease expires, all ownership ends with it and only a new grant restores
//! it. Traffic threads need not be notified, because every [`crate::view::View`]
//! contains the expiry of its lease.
//!
//! A coordinator warns all members of a request content that crashed backend servers
//! ([`Holder::add_warning`]). The warning is in the view until the roster has the crash.
//!
//! # Driver
//!
//! The control thread calls [`Holder::request`] once per renewal interval and
//! whenever [`Holder::handle_announcement`] or [`Effect::renew`] asks for it, records
//! the time right before it sends the request, and passes that time to
//! [`Holder::reply`]. If [`Effect::publish`] is set it publishes
//! [`Holder::view`] before the next request, because a request confirms the
//! revision of the published view. It asks the traffic side to close the
//! connections to the backend servers of [`Holder::to_release`], calls
//! [`Holder::mark_released`] for each and renews at once, since the next owner waits
//! for that.

mod catalog_copy;
mod config;
mod effect;
mod hold;
mod holder;
mod holder_crashes;
mod holds;
mod pending_reports;
mod received_announcements;
mod roster_copy;
mod warning;
mod warnings;

pub use config::Config;
pub use effect::Effect;
pub use holder::Holder;

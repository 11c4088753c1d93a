//! Recovery of the acknowledged departures after a start.
//!
//! A hub that has just started does not know which backend servers left before, and a report
//! that one of them sent while it served may be the first that the hub receives. The replicated
//! log holds every acknowledged departure. The hub asks for the revision of the table of
//! departures and has recovered once it has applied the log up to that revision:
//!
//! 1. [`Asking`]: the revision is not known.
//! 2. [`Catching`]: the revision is known, and the applied log does not reach it.
//! 3. [`Complete`]: the hub holds every departure that was acknowledged before it started.
//!
//! Each transition consumes the previous phase; [`AnyRecovery`] is for a phase that is known
//! only at run time.

mod any_recovery;
mod asking;
mod catching;
mod complete;

pub(super) use any_recovery::AnyRecovery;
pub(super) use asking::Asking;
pub(super) use catching::Catching;
pub(super) use complete::Complete;

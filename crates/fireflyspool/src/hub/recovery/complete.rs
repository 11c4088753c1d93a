//! Last phase of a recovery.

/// The hub holds every departure that was acknowledged before it started.
#[derive(Clone, Copy, Debug)]
pub(in crate::hub) struct Complete;

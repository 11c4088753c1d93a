//! Phase before a shutdown.

/// Accepts requests; no shutdown has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

//! Phase before a shutdown.

/// Normal work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

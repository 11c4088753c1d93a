//! Last phase of a shutdown.

/// Nothing runs any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Requests that were cut short.
    pub(super) cut: usize,
}

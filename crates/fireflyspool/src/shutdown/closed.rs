//! Last phase of a shutdown.

/// All requests have finished or were aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Number of requests that were still running at the deadline; logged under this name.
    pub(super) cut: usize,
}

//! What to do with a request of some content.

use std::time;

/// Decision on requests of one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the content.
    Accepted,
    /// A server may crash under it, so one has to respond before others get it.
    Probe,
    /// Servers crash under it; no server gets it.
    Refused {
        /// When the next probe is allowed.
        until: time::Instant,
    },
}

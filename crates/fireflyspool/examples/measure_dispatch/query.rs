//! Query of a simulation.

use std::time;

/// Query that waits for its shards.
pub(crate) struct Query {
    pub(crate) start: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) missing: u32,
}

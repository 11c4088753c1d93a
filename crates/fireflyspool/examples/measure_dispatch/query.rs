//! Query of a simulation.

use std::time;

/// Query with the number of shards that have not answered.
pub(crate) struct Query {
    pub(crate) start: time::Instant,
    pub(crate) deadline: time::Instant,
    pub(crate) pending: u32,
}

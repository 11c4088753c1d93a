//! Sub-request of a simulation.

/// Sub-request of a query.
pub(crate) struct Sub {
    pub(crate) query: usize,
    pub(crate) shard: u32,
    pub(crate) hedge: bool,
    pub(crate) twin: Option<u64>,
    pub(crate) done: bool,
}

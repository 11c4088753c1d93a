//! Sub-request of a simulated query.

/// Sub-request with its state.
pub(crate) struct Sub {
    pub(crate) query: usize,
    pub(crate) shard: u32,
    pub(crate) hedge: bool,
    /// Hedge of this sub-request, or the sub-request that this one hedges.
    pub(crate) counterpart: Option<u64>,
    pub(crate) done: bool,
}

//! What became of an order.

use crate::state;

/// End of an order, as its sender is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// Applied by the replicated log.
    Done(state::IdempotentOutcome),
    /// Open: no majority answered in time. It may still be applied.
    Open,
}

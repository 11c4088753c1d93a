//! Role of a read among identical ones.

use crate::ids;

/// Whether a read runs itself or waits for an identical one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Join {
    /// The read runs, and identical ones may wait for its answer.
    Lead,
    /// The read waits for the answer of an identical one.
    Follow {
        /// Ticket of the read that runs.
        leader: ids::Ticket,
    },
}

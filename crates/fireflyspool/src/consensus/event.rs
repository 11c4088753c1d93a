//! Events that a replica handles.

use crate::{consensus, ids};

/// Input of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The driver runs; arms the timer again.
    Start,
    /// The time of the last `SetTimer` has come. Early and repeated ones are harmless.
    Timer,
    /// A message arrived.
    Received(consensus::Envelope),
    /// A command was submitted here.
    Propose {
        /// Returned with the result.
        ticket: ids::Ticket,
        /// Command.
        payload: Vec<u8>,
    },
    /// The driver encoded the state machine after the entry at `index`.
    Compact {
        /// Last applied entry that the snapshot covers.
        index: ids::LogIndex,
        /// Encoded state.
        snapshot: Vec<u8>,
    },
    /// A membership change was submitted here.
    ChangeMembers {
        /// Returned with the result.
        ticket: ids::Ticket,
        /// The change.
        change: consensus::MembershipChange,
    },
}

//! Events that a replica handles.

use crate::{consensus, ids};

/// Event that a driver passes to its replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The driver has started; sets the timer again.
    Start,
    /// The time of the last `SetTimer` has come; early and repeated events are harmless.
    Timer,
    /// A message arrived.
    Received(consensus::Envelope),
    /// A command was submitted to this replica.
    Propose {
        /// Identifies the proposal in its result.
        ticket: ids::Ticket,
        /// Encoded command.
        payload: Vec<u8>,
    },
    /// The driver encoded the state machine after the entry at `index`.
    Compact {
        /// Last applied entry that the snapshot covers.
        index: ids::LogIndex,
        /// Encoded state.
        snapshot: Vec<u8>,
    },
    /// A membership change was submitted to this replica.
    ChangeMembers {
        /// Identifies the proposal in its result.
        ticket: ids::Ticket,
        /// Change of one member.
        change: consensus::MembershipChange,
    },
}

//! Actions that a replica asks its driver to execute.

use std::time;

use crate::{consensus, ids};

/// Output of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sync a record before executing any later action.
    Persist(consensus::Record),
    /// Send a message; it may be lost, repeated or reordered.
    Send(consensus::Envelope),
    /// Raise `Event::Timer` at this time; replaces the previous timer.
    SetTimer(time::Instant),
    /// Apply a committed command.
    Apply {
        /// Position in the log.
        index: ids::LogIndex,
        /// Term of the entry.
        term: ids::Term,
        /// Command.
        payload: Vec<u8>,
        /// Ticket, if it was proposed by this process and is not yet answered.
        ticket: Option<ids::Ticket>,
    },
    /// A membership change is committed.
    MembersChanged {
        /// Position in the log.
        index: ids::LogIndex,
        /// Members from now on.
        members: consensus::Members,
        /// Ticket, if it was proposed by this process and is not yet answered.
        ticket: Option<ids::Ticket>,
    },
    /// A proposal has no effect: this is not the leader, or the entry was overwritten.
    Refuse {
        /// Ticket of the proposal.
        ticket: ids::Ticket,
        /// Leader, if known.
        leader: Option<ids::NodeId>,
    },
    /// The leader refused a membership change; it has no effect.
    RefuseChange {
        /// Ticket of the proposal.
        ticket: ids::Ticket,
        /// Reason.
        refusal: consensus::ChangeRefusal,
    },
    /// Leadership was lost while a proposal was open; it may be committed or not.
    Uncertain {
        /// Ticket of the proposal.
        ticket: ids::Ticket,
    },
    /// Replace the state machine by a snapshot.
    Restore {
        /// The snapshot.
        snapshot: consensus::Snapshot,
    },
    /// Role, term or known leader changed.
    RoleChanged {
        /// Role from now on.
        role: consensus::Role,
        /// Current term.
        term: ids::Term,
        /// Leader, if known.
        leader: Option<ids::NodeId>,
    },
}

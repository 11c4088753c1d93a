//! Actions that a replica asks its driver to execute.

use std::time;

use crate::{consensus, ids};

/// Action that the driver of a replica executes.
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
        /// Encoded command.
        payload: Vec<u8>,
        /// Ticket, if this process proposed the entry and still waits for the result.
        ticket: Option<ids::Ticket>,
    },
    /// A membership change is committed.
    MembersChanged {
        /// Position in the log.
        index: ids::LogIndex,
        /// Member list after the change.
        members: consensus::Members,
        /// Ticket, if this process proposed the entry and still waits for the result.
        ticket: Option<ids::Ticket>,
    },
    /// A proposal has no effect: this replica does not lead, or the entry was overwritten.
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
        /// Why the change was refused.
        refusal: consensus::ChangeRefusal,
    },
    /// Leadership was lost before a proposal was committed; it may still be committed.
    Uncertain {
        /// Ticket of the proposal.
        ticket: ids::Ticket,
    },
    /// Replace the state machine by a snapshot.
    Restore {
        /// State machine after all entries up to `snapshot.index`.
        snapshot: consensus::Snapshot,
    },
    /// Role, term or known leader changed.
    RoleChanged {
        /// New role.
        role: consensus::Role,
        /// Current term.
        term: ids::Term,
        /// Leader, if known.
        leader: Option<ids::NodeId>,
    },
}

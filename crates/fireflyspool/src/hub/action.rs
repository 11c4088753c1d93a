//! Actions that a hub asks its driver to execute.

use std::net;

use crate::{hub, ids, registry};

/// Output of a hub.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a batch to another hub and report the result with [`hub::Hub::exchange_ended`].
    Exchange {
        /// Listener of the other hub.
        peer: net::SocketAddr,
        /// Batch to send.
        batch: Box<hub::Batch>,
    },
    /// Reply to the poll of an entry VM.
    Reply {
        /// Ticket of the poll.
        ticket: ids::Ticket,
        /// Reply to send to the entry VM.
        reply: Box<hub::FollowReply>,
    },
    /// Reply to a report or deregistration of a backend server.
    Acknowledge {
        /// Ticket of the report or deregistration.
        ticket: ids::Ticket,
        /// Whether enough hubs hold it; otherwise its sender tries another control VM.
        accepted: bool,
    },
    /// Record departures in the replicated log and report the result with
    /// [`hub::Hub::record_ended`].
    Record {
        /// Departures to record; none if only the revision of the table is needed.
        departures: Vec<registry::Departure>,
    },
    /// Publish the entry VMs that callers may use.
    Publish(hub::AddressBook),
}

//! Actions that a hub asks its driver to execute.

use std::net;

use crate::{hub, ids};

/// Output of a hub.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a batch to another hub and report its end with [`hub::Hub::exchange_ended`].
    Exchange {
        /// Listener of the other hub.
        peer: net::SocketAddr,
        /// The batch.
        batch: Box<hub::Batch>,
    },
    /// Answer the poll of an entry VM.
    Reply {
        /// Ticket of the poll.
        ticket: ids::Ticket,
        /// Answer.
        reply: Box<hub::FollowReply>,
    },
    /// Answer the report of a backend server.
    Acknowledge {
        /// Ticket of the report.
        ticket: ids::Ticket,
        /// Whether enough hubs hold the report; otherwise its sender tries another VM.
        accepted: bool,
    },
    /// Publish the addresses for callers.
    Publish(hub::AddressBook),
}

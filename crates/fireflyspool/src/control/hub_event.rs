//! Events of the hub.

use std::net;

use tokio::sync::oneshot;

use crate::{control, hub, ids, registry};

/// Message for the hub of a control VM.
pub enum HubEvent {
    /// Report of a backend server.
    Report {
        /// The report.
        report: Box<registry::Report>,
        /// Told the address for later reports; dropped if too few hubs hold the
        /// report.
        reply: oneshot::Sender<net::SocketAddr>,
    },
    /// A backend server says that it ended.
    Deregister {
        /// Backend server.
        server: ids::ServerName,
        /// Start time of its incarnation, if known.
        born: Option<ids::BornMillis>,
        /// Told the address for reports; dropped if too few hubs hold the
        /// departure.
        reply: oneshot::Sender<net::SocketAddr>,
    },
    /// Batch of another hub.
    Batch {
        /// The batch.
        batch: Box<hub::Batch>,
        /// Where the answer goes.
        reply: oneshot::Sender<hub::Ack>,
    },
    /// The exchange with another hub has ended.
    ExchangeEnded {
        /// Listener of the other hub.
        peer: net::SocketAddr,
        /// Answer; `None` if there was none.
        ack: Option<hub::Ack>,
    },
    /// What attempts of an entry VM showed about backend servers.
    Observed(Vec<hub::Observation>),
    /// Poll of an entry VM.
    Follow {
        /// The poll.
        request: Box<hub::FollowRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<hub::FollowReply>,
    },
    /// The request of this VM to join the control group has ended.
    JoinEnded(Option<control::OrderReply>),
}

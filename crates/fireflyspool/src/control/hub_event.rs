//! Events for the hub on the control thread.

use std::net;

use tokio::sync::oneshot;

use crate::{control, hub, ids, quota, registry, rollout};

/// Message for the hub of a control VM.
pub enum HubEvent {
    /// A backend server sent a heartbeat or reports that it leaves.
    Report {
        /// Report as received.
        report: Box<registry::Report>,
        /// Receives the address for later reports; dropped if too few hubs hold
        /// this one.
        reply: oneshot::Sender<net::SocketAddr>,
    },
    /// A backend server deregisters.
    Deregister {
        /// Name of the backend server.
        server: ids::ServerName,
        /// Start time of its incarnation, if known.
        born: Option<ids::BornMillis>,
        /// Receives the address for reports; dropped if too few hubs hold the
        /// deregistration.
        reply: oneshot::Sender<net::SocketAddr>,
    },
    /// Another hub sent a batch.
    Batch {
        /// Batch as received.
        batch: Box<hub::Batch>,
        /// Receives the acknowledgement.
        reply: oneshot::Sender<hub::Ack>,
    },
    /// Sending a batch to another hub has ended.
    ExchangeEnded {
        /// Listener of the other hub.
        peer: net::SocketAddr,
        /// Acknowledgement; `None` if none arrived.
        ack: Option<hub::Ack>,
    },
    /// An entry VM reports what its attempts showed about backend servers.
    Observed(Vec<hub::Observation>),
    /// An entry VM polls this hub.
    Follow {
        /// The poll.
        request: Box<hub::FollowRequest>,
        /// Receives the reply once there are changes or the poll's time is over.
        reply: oneshot::Sender<hub::FollowReply>,
    },
    /// An entry VM needs tokens for requests of limited accounts.
    TakeTokens {
        /// Tokens by account.
        asks: Vec<quota::Ask>,
        /// Receives one answer for each account, in the same order; dropped if this hub must
        /// not grant any.
        reply: oneshot::Sender<Vec<Option<quota::Grant>>>,
    },
    /// An entry VM reports counts of rollouts in progress.
    Counted(Vec<rollout::Report>),
    /// The command of this VM that advances a rollout has ended; `None` if no reply arrived.
    AdvanceEnded(Option<control::IdempotentReply>),
    /// This VM was told to stop.
    Stop,
    /// The command of this VM that records departures has ended; `None` if no reply arrived.
    RecordEnded(Option<control::IdempotentReply>),
    /// The request of this VM to join the control group has ended; `None` if no reply
    /// arrived.
    JoinEnded(Option<control::IdempotentReply>),
}

//! Events of the control thread.

use std::{net, time};

use tokio::sync::oneshot;

use crate::{backend, consensus, control, hub, ids, language, roster, state};

/// Message to the control thread.
///
/// Senders of answers are one-shot channels; an answer whose receiver is gone
/// is dropped.
pub enum Event {
    /// Messages of another replica.
    Envelopes {
        /// Its listener, if known.
        from: Option<net::SocketAddr>,
        /// The messages.
        envelopes: Vec<consensus::Envelope>,
    },
    /// Another entry VM, or this one, asks the leader for a lease.
    Renew {
        /// Request of the entry VM.
        request: Box<roster::RenewRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<roster::RenewReply>,
    },
    /// The renewal that this entry VM sent has ended.
    RenewalEnded {
        /// When it was sent; the lease counts from here.
        sent: time::Instant,
        /// Answer; `None` if there was none.
        reply: Option<Box<roster::RenewReply>>,
    },
    /// An operator's command.
    Propose {
        /// The command.
        command: state::Command,
        /// Where the answer goes.
        reply: oneshot::Sender<control::ProposeReply>,
    },
    /// An order for the replicated state.
    Order {
        /// The order.
        order: state::IdempotentCommand,
        /// Where the answer goes; dropped if the result is open.
        reply: oneshot::Sender<control::OrderReply>,
    },
    /// Asks to be told when a revision is in force everywhere.
    AwaitInForce {
        /// The revision.
        revision: ids::Revision,
        /// Where the answer goes; dropped if this replica loses its leadership.
        reply: oneshot::Sender<()>,
    },
    /// A claim on the id of a non-idempotent request.
    OpenClaim {
        /// The claim.
        claim: state::Claim,
        /// Where the answer goes; dropped if this replica cannot tell.
        reply: oneshot::Sender<state::ClaimReply>,
    },
    /// The outcome of a claimed request.
    RecordClaim {
        /// The outcome.
        outcome: state::ClaimOutcome,
        /// Told once the outcome is durable.
        reply: oneshot::Sender<()>,
    },
    /// Asks for part of the state.
    Show {
        /// Part.
        show: language::Show,
        /// Where the answer goes; dropped if this process does not hold it.
        reply: oneshot::Sender<control::Table>,
    },
    /// A backend server announced itself here.
    Announce(Box<backend::Announcement>),
    /// A backend server died while it ran a request.
    Crash(roster::Crash),
    /// A coordinator warns of a content that crashed backend servers.
    CrashWarning {
        /// The crashes.
        crashes: Vec<roster::Crash>,
        /// Answered once they are in the published view.
        reply: oneshot::Sender<()>,
    },
    /// The traffic side has closed all connections to a backend server.
    ConnectionsClosed(ids::ServerName),
    /// Share of this VM's capacity in use, in permille.
    Load(u32),
    /// This entry VM is shutting down.
    Leave,
    /// For the hub of this control VM.
    Hub(control::HubEvent),
    /// An attempt showed that a backend server is slow, failing or fast again.
    Observed(hub::Observation),
    /// The poll of this entry VM has ended; `None` if there was no answer.
    PollEnded(Option<Box<hub::FollowReply>>),
    /// A deadline has come.
    Timer,
    /// The thread must end.
    Stop,
}

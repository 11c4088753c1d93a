//! Events of the control thread.

use std::{net, time};

use tokio::sync::oneshot;

use crate::{backend, consensus, control, hub, ids, language, rollout, roster, state};

/// Message to the control thread.
///
/// `reply` channels are one-shot; a reply whose receiver is gone is dropped.
pub enum Event {
    /// Messages of another replica.
    Envelopes {
        /// Listener of the sending replica, if it named one.
        from: Option<net::SocketAddr>,
        /// The messages.
        envelopes: Vec<consensus::Envelope>,
    },
    /// An entry VM, possibly this one, asks the leader to renew its lease.
    Renew {
        /// Request of the entry VM.
        request: Box<roster::RenewRequest>,
        /// Receives the grant or a hint at the leader.
        reply: oneshot::Sender<roster::RenewReply>,
    },
    /// A lease renewal that this entry VM sent has ended.
    RenewalEnded {
        /// When the renewal was sent; the lease counts from here.
        sent: time::Instant,
        /// Reply of the control VM; `None` if none arrived.
        reply: Option<Box<roster::RenewReply>>,
    },
    /// Proposes an operator's command.
    Propose {
        /// Command, identified by its operator and number.
        command: state::Command,
        /// Receives the receipt or the reason why there is none.
        reply: oneshot::Sender<control::ProposeReply>,
    },
    /// Proposes an idempotent command.
    Idempotent {
        /// Command that may be applied more than once.
        command: state::IdempotentCommand,
        /// Receives the outcome; dropped if it is not known whether the command commits.
        reply: oneshot::Sender<control::IdempotentReply>,
    },
    /// Waits until a revision is in force on all entry VMs.
    AwaitInForce {
        /// Revision of the catalog.
        revision: ids::Revision,
        /// Notified once it is in force; dropped if this replica does not lead.
        reply: oneshot::Sender<()>,
    },
    /// A claim on the id of a non-idempotent request.
    OpenClaim {
        /// Claim to open.
        claim: state::Claim,
        /// Receives the decision; dropped if this replica does not lead or its proposal fails.
        reply: oneshot::Sender<state::ClaimReply>,
    },
    /// Records the outcome of a claimed request.
    RecordClaim {
        /// Outcome to record.
        outcome: state::ClaimOutcome,
        /// Notified once the outcome is committed; dropped if this replica does not lead.
        reply: oneshot::Sender<()>,
    },
    /// Runs a `show` statement on the replicated state.
    Show {
        /// Part of the state to show.
        show: language::Show,
        /// Receives the table; dropped if this replica does not lead.
        reply: oneshot::Sender<control::Table>,
    },
    /// A backend server announced itself to this entry VM.
    Announce(Box<backend::Announcement>),
    /// A backend server crashed while it ran a request.
    Crash(roster::Crash),
    /// A coordinator warns of request content that crashed backend servers.
    CrashWarning {
        /// Crashes; repetitions of one crash count once.
        crashes: Vec<roster::Crash>,
        /// Notified once they are in the published view.
        reply: oneshot::Sender<()>,
    },
    /// The traffic threads have closed all connections to a backend server.
    ConnectionsClosed(ids::ServerName),
    /// Share of this VM's capacity in use, in permille.
    Load(u32),
    /// This entry VM is shutting down.
    Leave,
    /// Event for the hub of this control VM.
    Hub(control::HubEvent),
    /// An attempt of this entry VM found a backend server slow, failing or recovered.
    Observed(hub::Observation),
    /// First attempts of this entry VM at a service with a rollout in progress have ended.
    Counted(Vec<rollout::Sample>),
    /// The poll that this entry VM sent has ended; `None` if no reply arrived.
    PollEnded(Option<Box<hub::FollowReply>>),
    /// The time set with [`control::Environment::wake_at`] has come.
    Timer,
    /// Ends the thread without a further sync.
    Stop,
}

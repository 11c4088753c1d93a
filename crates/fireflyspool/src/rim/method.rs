//! Methods between processes of the tier.

/// JSON-RPC method of the listener for other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Messages of the replicated log.
    Consensus,
    /// Renewal of a lease.
    Renew,
    /// Warning of a content that crashed backend servers.
    Warn,
    /// Command for the leader.
    Propose,
    /// Waits until a revision is in force everywhere.
    AwaitInForce,
    /// Claim on a request id.
    OpenClaim,
    /// Outcome of a claim.
    RecordClaim,
    /// Part of the control state for operators.
    Show,
    /// Sub-request for an owner.
    Dispatch,
    /// Cancellation of sub-requests.
    Cancel,
    /// Batch between hubs.
    Exchange,
    /// Poll of an entry VM.
    Follow,
    /// Order for the leader.
    Order,
    /// What attempts of an entry VM showed about backend servers.
    Observe,
}

impl Method {
    /// Name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Consensus => "consensus.messages",
            Self::Renew => "lease.renew",
            Self::Warn => "lease.warn",
            Self::Propose => "command.propose",
            Self::AwaitInForce => "command.await",
            Self::OpenClaim => "claim.open",
            Self::RecordClaim => "claim.record",
            Self::Show => "control.show",
            Self::Dispatch => "dispatch.run",
            Self::Cancel => "dispatch.cancel",
            Self::Exchange => "hub.exchange",
            Self::Follow => "hub.follow",
            Self::Order => "order.decide",
            Self::Observe => "hub.observe",
        }
    }
}

//! JSON-RPC methods between processes of the tier.

/// Method that a process of the tier offers to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Delivers messages of the replicated log.
    Consensus,
    /// Renews a lease.
    Renew,
    /// Warns of request content that crashed backend servers.
    Warn,
    /// Proposes a command to the leader.
    Propose,
    /// Waits until a revision is in force everywhere.
    AwaitInForce,
    /// Claims a request id.
    OpenClaim,
    /// Records the outcome of a claim.
    RecordClaim,
    /// Returns a table of the control state for operators.
    Show,
    /// Sends a sub-request to the owner of backend servers.
    Dispatch,
    /// Cancels sub-requests.
    Cancel,
    /// Exchanges a batch between hubs.
    Exchange,
    /// Polls a hub on behalf of an entry VM.
    Follow,
    /// Sends an idempotent command to the leader.
    Idempotent,
    /// Reports the results of attempts at backend servers.
    Observe,
    /// Takes tokens of client accounts from the share of a control VM.
    TakeTokens,
    /// Reports the counts of rollouts.
    Count,
}

impl Method {
    /// Method name in JSON-RPC messages.
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
            Self::Idempotent => "order.decide",
            Self::Observe => "hub.observe",
            Self::TakeTokens => "hub.take_tokens",
            Self::Count => "hub.count",
        }
    }
}

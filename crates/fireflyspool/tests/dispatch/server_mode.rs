//! Behaviour of a fake backend server.

/// What a fake backend server does with the requests that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerMode {
    /// Runs them.
    Normal,
    /// Refuses them with 503 and a retry delay.
    Shedding,
    /// Refuses them with 409.
    NotHosting,
    /// Refuses them with 410.
    Leaving,
    /// Runs them until their deadline and never answers.
    Silent,
    /// Answers with a wrong attempt, incarnation, version or shard, and keeps running.
    WrongReply,
    /// Loses the connection and keeps running.
    Disconnecting,
    /// Refuses connections.
    Unreachable,
}

impl ServerMode {
    /// All modes, `Normal` three times to make it more frequent.
    pub(crate) const ALL: [Self; 10] = [
        Self::Normal,
        Self::Normal,
        Self::Normal,
        Self::Shedding,
        Self::NotHosting,
        Self::Leaving,
        Self::Silent,
        Self::WrongReply,
        Self::Disconnecting,
        Self::Unreachable,
    ];
}

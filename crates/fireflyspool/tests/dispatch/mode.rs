//! Behaviour of a stand-in backend server.

/// What a stand-in does with the requests that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Runs them.
    Normal,
    /// Refuses them with 503 and a time to rest.
    Shedding,
    /// Refuses them with 409.
    NotHosting,
    /// Refuses them with 410.
    Leaving,
    /// Runs them until their deadline and answers nothing.
    Silent,
    /// Answers with another attempt, incarnation, version or shard, and goes on running.
    Misdirecting,
    /// Loses the connection and goes on running.
    Cutting,
    /// Refuses connections.
    Unreachable,
}

impl Mode {
    /// All modes; normal ones are the most frequent.
    pub(crate) const ALL: [Self; 10] = [
        Self::Normal,
        Self::Normal,
        Self::Normal,
        Self::Shedding,
        Self::NotHosting,
        Self::Leaving,
        Self::Silent,
        Self::Misdirecting,
        Self::Cutting,
        Self::Unreachable,
    ];
}

//! State of a held backend server.

/// State of a backend server to which this process may have open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    /// Owned by this process; `after` is the number of the latest request before the grant.
    Owned { after: u64 },
    /// Revoked by the leader; reported as held until it is released.
    Revoked,
    /// Lost by an expired lease or a new leader; may be assigned to another process.
    Lapsed,
}

//! Relation of this process to a backend server.

/// Why connections to a backend server may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    /// This process owns it; granted when the request with this number was the latest.
    Owned { after: u64 },
    /// The leader asks for it back; reported as held until it is released.
    Revoked,
    /// The lease ended in between; the leader may have assigned it to another process.
    Lapsed,
}

//! Reason why a request was not authorized.

/// Why a request may not run, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It carries no credentials.
    Missing,
    /// It carries credentials more than once.
    Repeated,
    /// Its credentials are not a bearer key.
    OtherScheme,
    /// Its key is empty or holds a space or another byte that no key has.
    Malformed,
    /// No account holds its key.
    Unknown,
    /// No account holds its key in a view that may lack the newest configuration.
    UnknownInOldView,
    /// An account holds its key in a view that is too old to rule out its withdrawal.
    OldView,
    /// The key was withdrawn, or the view became too old, after the request had arrived.
    Expired,
}

impl Cause {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "key missing",
            Self::Repeated => "key repeated",
            Self::OtherScheme => "other scheme than a key",
            Self::Malformed => "key malformed",
            Self::Unknown => "key unknown",
            Self::UnknownInOldView => "key unknown, view not confirmed",
            Self::OldView => "key known, view not confirmed",
            Self::Expired => "key no longer confirmed",
        }
    }
}

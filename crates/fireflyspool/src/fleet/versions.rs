//! Versions of backend servers among which an attempt chooses.

use std::time;

use crate::fleet::server_state;

/// Which servers of a service an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Versions {
    /// All, because the service has had no rollout.
    Any,
    /// Those of other versions than the target of the rollout, but for new ones.
    Old,
    /// Those of the target of the rollout.
    Target,
}

impl Versions {
    /// Whether a server may be used.
    pub(super) fn allows(self, server: &server_state::ServerState, now: time::Instant) -> bool {
        match self {
            Self::Any => true,
            Self::Old => !server.is_target && !server.is_held(now),
            Self::Target => server.is_target,
        }
    }
}

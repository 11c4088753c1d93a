//! Owned backend server in any state.

use std::time;

use crate::dispatch;
use crate::dispatch::server_core;

/// Backend server with its life cycle state known at run time only.
#[derive(Debug)]
pub(super) enum Server {
    Warming(dispatch::BackendServer<dispatch::Warming>),
    Serving(dispatch::BackendServer<dispatch::Serving>),
    Leaving(dispatch::BackendServer<dispatch::Leaving>),
}

impl Server {
    pub(super) fn core(&self) -> &server_core::ServerCore {
        match self {
            Self::Warming(server) => &server.core,
            Self::Serving(server) => &server.core,
            Self::Leaving(server) => &server.core,
        }
    }

    pub(super) fn core_mut(&mut self) -> &mut server_core::ServerCore {
        match self {
            Self::Warming(server) => &mut server.core,
            Self::Serving(server) => &mut server.core,
            Self::Leaving(server) => &mut server.core,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(_))
    }

    pub(super) fn is_warming(&self) -> bool {
        matches!(self, Self::Warming(_))
    }

    /// Whether it is eligible and not leaving, so it may receive work once a permit is free.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_leaving() && self.core().eligible
    }

    /// Permits that can be handed out now.
    pub(super) fn free_permits(&self, now: time::Instant) -> u32 {
        let core = self.core();
        let blocked = core.blocked_until(now).is_some();
        if !core.eligible || blocked || !core.connections.has_room() {
            return 0;
        }
        match self {
            Self::Warming(server) => server.free_permits(now),
            Self::Serving(server) => server.free_permits(),
            Self::Leaving(_) => 0,
        }
    }

    /// Permits that its state allows, used ones included.
    pub(super) fn permits(&self) -> u32 {
        match self {
            Self::Warming(server) => server.core.slots.min(server.stage.limit),
            Self::Serving(server) => server.core.slots,
            Self::Leaving(_) => 0,
        }
    }

    pub(super) fn promote(self) -> Self {
        match self {
            Self::Warming(server) => Self::Serving(server.promote()),
            other => other,
        }
    }

    pub(super) fn restart(self) -> Self {
        match self {
            Self::Warming(server) => Self::Warming(server.restart()),
            Self::Serving(server) => Self::Warming(server.demote()),
            Self::Leaving(server) => Self::Leaving(server),
        }
    }

    pub(super) fn readmit(self) -> Self {
        match self {
            Self::Leaving(server) => Self::Warming(server.readmit()),
            other => other,
        }
    }

    pub(super) fn demote(self) -> Self {
        match self {
            Self::Serving(server) => Self::Warming(server.demote()),
            other => other,
        }
    }

    pub(super) fn leave(self) -> Self {
        match self {
            Self::Warming(server) => Self::Leaving(server.leave()),
            Self::Serving(server) => Self::Leaving(server.leave()),
            Self::Leaving(server) => Self::Leaving(server),
        }
    }
}

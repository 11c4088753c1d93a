//! Life cycle of an owned backend server.

use std::time;

use crate::dispatch::server_core;
use crate::{dispatch, ids};

/// Owned backend server in one state of its life cycle.
///
/// A server begins in [`dispatch::Warming`], is promoted to [`dispatch::Serving`], falls back to
/// [`dispatch::Warming`] when it looks cold, and ends in [`dispatch::Leaving`],
/// from which only a new process of the same server comes back. Every transition
/// consumes the value, so a leaving server cannot be sent work by mistake: it
/// has no method that gives out a permit.
#[derive(Debug)]
pub struct BackendServer<S> {
    // Boxed, so that a transition moves few bytes.
    pub(super) core: Box<server_core::ServerCore>,
    pub(super) stage: S,
}

impl BackendServer<dispatch::Warming> {
    /// A server that was just met, or met again under a new incarnation.
    pub(super) fn meet(core: server_core::ServerCore) -> Self {
        Self {
            core: Box::new(core),
            stage: dispatch::Warming::start(),
        }
    }

    /// Permits that slow start leaves at this moment.
    pub(super) fn free_permits(&self, now: time::Instant) -> u32 {
        if self.stage.not_before.is_some_and(|until| now < until) {
            return 0;
        }
        let most = self.core.slots.min(self.stage.limit);
        most.saturating_sub(self.core.busy())
    }

    /// Begins slow start anew, because the server process is a new one.
    pub(super) fn restart(self) -> Self {
        Self {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Ends slow start.
    pub(super) fn promote(mut self) -> BackendServer<dispatch::Serving> {
        self.core.forgive();
        BackendServer {
            core: self.core,
            stage: dispatch::Serving,
        }
    }

    /// Begins to give it up.
    pub(super) fn leave(self) -> BackendServer<dispatch::Leaving> {
        BackendServer {
            core: self.core,
            stage: dispatch::Leaving,
        }
    }
}

impl BackendServer<dispatch::Serving> {
    /// Permits that are free.
    pub(super) fn free_permits(&self) -> u32 {
        self.core.slots.saturating_sub(self.core.busy())
    }

    /// Returns to slow start, because the server looks cold.
    pub(super) fn cool(mut self) -> BackendServer<dispatch::Warming> {
        self.core.forget_recent();
        BackendServer {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Begins to give it up.
    pub(super) fn leave(self) -> BackendServer<dispatch::Leaving> {
        BackendServer {
            core: self.core,
            stage: dispatch::Leaving,
        }
    }
}

impl BackendServer<dispatch::Leaving> {
    /// Whether nothing runs there and nothing is on its way there.
    pub(super) fn is_idle(&self) -> bool {
        self.core.attempts.is_empty() && self.core.connections.is_quiet()
    }

    /// Takes it back as a new process; leaving is final for the old one only.
    pub(super) fn renew(mut self) -> BackendServer<dispatch::Warming> {
        self.core.forgive();
        BackendServer {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Ends its life here and returns its name and incarnation.
    pub(super) fn close(self) -> (ids::ServerName, ids::Incarnation) {
        (self.core.name, self.core.incarnation)
    }
}

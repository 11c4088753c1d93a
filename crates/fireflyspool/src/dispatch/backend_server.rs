//! Life cycle of an owned backend server.

use std::time;

use crate::dispatch::server_core;
use crate::{dispatch, ids};

/// Owned backend server in one state of its life cycle.
///
/// A server starts in [`dispatch::Warming`], is promoted to [`dispatch::Serving`],
/// is demoted to [`dispatch::Warming`] when it looks cold, and ends in
/// [`dispatch::Leaving`], from which only a new process of the same server is
/// readmitted. Every transition consumes the value. A leaving server has no
/// method that hands out permits, so it cannot be sent work by mistake.
#[derive(Debug)]
pub struct BackendServer<S> {
    // Boxed, so that a transition moves few bytes.
    pub(super) core: Box<server_core::ServerCore>,
    pub(super) stage: S,
}

impl BackendServer<dispatch::Warming> {
    /// Server that this VM has just become the owner of.
    pub(super) fn new(core: server_core::ServerCore) -> Self {
        Self {
            core: Box::new(core),
            stage: dispatch::Warming::start(),
        }
    }

    /// Permits that slow start allows now.
    pub(super) fn free_permits(&self, now: time::Instant) -> u32 {
        if self.stage.not_before.is_some_and(|until| now < until) {
            return 0;
        }
        let most = self.core.slots.min(self.stage.limit);
        most.saturating_sub(self.core.busy())
    }

    /// Restarts slow start, because the server process is a new one.
    pub(super) fn restart(self) -> Self {
        Self {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Ends slow start and resets the count of ejections.
    pub(super) fn promote(mut self) -> BackendServer<dispatch::Serving> {
        self.core.reset_failures();
        BackendServer {
            core: self.core,
            stage: dispatch::Serving,
        }
    }

    /// Stops new work; running attempts finish.
    pub(super) fn leave(self) -> BackendServer<dispatch::Leaving> {
        BackendServer {
            core: self.core,
            stage: dispatch::Leaving,
        }
    }
}

impl BackendServer<dispatch::Serving> {
    /// Permits not in use.
    pub(super) fn free_permits(&self) -> u32 {
        self.core.slots.saturating_sub(self.core.busy())
    }

    /// Returns to slow start, because the server looks cold.
    pub(super) fn demote(mut self) -> BackendServer<dispatch::Warming> {
        self.core.clear_recent();
        BackendServer {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Stops new work; running attempts finish.
    pub(super) fn leave(self) -> BackendServer<dispatch::Leaving> {
        BackendServer {
            core: self.core,
            stage: dispatch::Leaving,
        }
    }
}

impl BackendServer<dispatch::Leaving> {
    /// Whether no attempt holds a permit and no connection is used or being opened.
    pub(super) fn is_idle(&self) -> bool {
        self.core.attempts.is_empty() && self.core.connections.is_idle()
    }

    /// Puts a new process of the server into slow start.
    pub(super) fn readmit(mut self) -> BackendServer<dispatch::Warming> {
        self.core.reset_failures();
        BackendServer {
            core: self.core,
            stage: dispatch::Warming::start(),
        }
    }

    /// Ends the life cycle and returns the name and incarnation.
    pub(super) fn close(self) -> (ids::ServerName, ids::Incarnation) {
        (self.core.name, self.core.incarnation)
    }
}

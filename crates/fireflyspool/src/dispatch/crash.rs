//! Crash of a backend server.

use std::time;

use crate::ids;

/// Break of a connection that looks like a crash.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) server: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
    pub(super) time: time::Instant,
}

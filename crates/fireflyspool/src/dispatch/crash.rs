//! Crash of a backend server.

use std::time;

use crate::ids;

/// Lost connection that may have been a crash of the backend server.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) server: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
    pub(super) time: time::Instant,
}

//! Delegation of a group to another entry VM.

use std::net;

use crate::{forward, ids};

/// Group to send to another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// Number of the delegation in its exchange; no attempt has the same one.
    pub attempt: ids::AttemptId,
    /// Listener of the other entry VM.
    pub delegate: net::SocketAddr,
    /// What it gathers.
    pub group: forward::Group,
}

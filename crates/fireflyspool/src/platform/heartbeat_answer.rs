//! Wire format of the reply to a heartbeat or departure.

use std::net;

/// Acknowledges a heartbeat or departure.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub(super) struct HeartbeatAnswer {
    /// Control VM to which the backend server sends its next heartbeat.
    #[serde(rename = "HeartbeatAddr")]
    pub(super) address: net::SocketAddr,
}

//! Answer to a heartbeat on the wire.

use std::net;

/// Body of the acknowledgement of a heartbeat.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub(super) struct HeartbeatAnswer {
    /// Address for later heartbeats.
    #[serde(rename = "HeartbeatAddr")]
    pub(super) address: net::SocketAddr,
}

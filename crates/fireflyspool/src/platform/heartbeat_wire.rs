//! Wire format of the heartbeat of a backend server.

use std::{net, time};

use crate::{ids, platform, registry};

/// Body of a heartbeat; the path names the server.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatWire {
    /// Service, which the wire calls a backend.
    #[serde(rename = "Backend")]
    service: ids::ServiceName,
    address: net::SocketAddr,
    zone: ids::ZoneName,
    /// Anything but a text counts as absent, because earlier releases ignored it.
    #[serde(default)]
    version: serde_json::Value,
    /// Maximum number of requests that the server runs concurrently.
    #[serde(rename = "Concurrency", default = "default_slots")]
    slots: u32,
    state: String,
    /// Milliseconds until the server is warm.
    #[serde(rename = "WarmupLeftMs", default)]
    cold_left: f64,
    sequence: u64,
    /// Start time of the incarnation; the only field in lower case on the wire.
    #[serde(rename = "born", default)]
    born: ids::BornMillis,
}

/// Slots of a server that reports none.
fn default_slots() -> u32 {
    1
}

impl HeartbeatWire {
    /// Decodes the heartbeat of the backend server `server`.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if a field is missing, has another
    /// type or holds an unknown value.
    pub fn decode(
        server: ids::ServerName,
        body: &[u8],
    ) -> Result<registry::Report, platform::PlatformError> {
        let wire: Self = serde_json::from_slice(body)?;
        let phase = match wire.state.as_str() {
            "ready" => registry::Phase::Serving,
            "draining" => registry::Phase::Leaving,
            other => {
                return Err(platform::PlatformError::Field {
                    name: "State",
                    detail: format!("unknown state `{other}`"),
                });
            }
        };
        let cold_left = time::Duration::try_from_secs_f64(wire.cold_left / 1_000.0);
        let cold_left = cold_left.map_err(|error| platform::PlatformError::Field {
            name: "WarmupLeftMs",
            detail: error.to_string(),
        })?;
        Ok(registry::Report {
            server,
            born: wire.born,
            sequence: wire.sequence,
            service: wire.service,
            address: wire.address,
            zone: wire.zone,
            version: wire.version.as_str().unwrap_or_default().to_owned(),
            slots: wire.slots,
            phase,
            cold_left,
        })
    }
}

//! Heartbeat of a backend server on the wire.

use std::{net, time};

use crate::{ids, platform, registry};

/// Body of a heartbeat.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatWire {
    /// Service; the wire calls a service a back end.
    #[serde(rename = "Backend")]
    service: ids::ServiceName,
    address: net::SocketAddr,
    zone: ids::ZoneName,
    /// Requests that the server runs at once.
    #[serde(rename = "Concurrency", default = "default_slots")]
    slots: u32,
    state: String,
    /// Milliseconds for which the server stays cold.
    #[serde(rename = "WarmupLeftMs", default)]
    cold_left: f64,
    sequence: u64,
    /// Start time of this incarnation; the wire gives it in lower case.
    #[serde(rename = "born", default)]
    born: ids::BornMillis,
}

/// Slots of a server that does not tell them.
fn default_slots() -> u32 {
    1
}

impl HeartbeatWire {
    /// Decodes the body of a heartbeat from a backend server.
    ///
    /// # Errors
    ///
    /// Returns a [`platform::PlatformError`] if a field is missing, of another
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
            slots: wire.slots,
            phase,
            cold_left,
        })
    }
}

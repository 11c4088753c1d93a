//! Adapter to the platform on which the processes run.
//!
//! Everything here translates: settings of a process, requests of callers,
//! heartbeats of backend servers, commands of operators and responses of backend
//! servers, to and from the project's own types. It decides nothing and holds
//! no state. Names of the platform's protocol appear in this folder only; no
//! other module imports it, apart from the command line.

mod account_wire;
mod address_answer;
mod bounds;
mod caller_service;
mod condition_wire;
mod configuration_format;
mod configuration_wire;
mod control_call;
mod control_service;
mod departure_wire;
mod directory_routes;
mod headers;
mod heartbeat_answer;
mod heartbeat_wire;
mod http_backend_client;
mod limits_wire;
mod listen_addresses;
mod platform_error;
mod process_limits;
mod process_settings;
mod ready_routes;
mod rollout_answer;
mod rollout_calls;
mod rollout_wire;
mod route_wire;
mod run;
mod service_wire;
mod signals;
mod split_wire;

pub use condition_wire::decode_condition;
pub use configuration_format::ConfigurationFormat;
pub use departure_wire::DepartureWire;
pub use heartbeat_wire::HeartbeatWire;
pub use platform_error::PlatformError;
pub use process_settings::ProcessSettings;
pub use run::{run_control, run_entry};

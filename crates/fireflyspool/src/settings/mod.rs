//! Settings of one process, read from a YAML file.
//!
//! A file is checked as a whole before anything starts: [`Settings::load`]
//! returns every fault with its path, not only the first. Durations and sizes
//! carry their unit, unknown keys are faults. What may change while the tier
//! runs is not a setting but a configuration value under a revision, see
//! [`crate::state::ConfigKey`].

mod checks;
mod control_peer;
mod fault;
mod fields;
mod reader;
mod role;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod settings;
mod settings_error;
mod shared_key;
mod size;

pub use control_peer::ControlPeer;
pub use fault::Fault;
pub use role::Role;
pub use settings::Settings;
pub use settings_error::SettingsError;
pub use shared_key::SharedKey;
pub use size::Size;

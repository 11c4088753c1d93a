//! Settings of one process, read from a YAML file.
//!
//! A file is checked as a whole before anything starts: [`Settings::load`]
//! returns every fault with its path, not only the first. Durations and sizes
//! carry a unit, and unknown keys are faults. Values that can change while the
//! tier runs are not settings but belong to the configuration, which has
//! revisions; see [`crate::state::ConfigKey`].

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

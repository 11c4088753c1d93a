//! Processes that serve routes of a replaceable configuration.
//!
//! [`Control`] is a control VM with a replica of the log and a hub; [`Entry`]
//! is an entry VM that follows hubs and forwards requests. Both have one
//! control thread that owns all control state, and traffic threads that read
//! what it publishes. Front ends translate to and from the typed messages here
//! and hold no state of their own.

mod acknowledgement;
mod attempt_guard;
mod control;
mod control_settings;
mod entry;
mod entry_settings;
mod forward_task;
mod forwarding;
mod link;
mod logger;
mod mesh_listener;
mod mesh_outlet;
mod message;
mod numbering;
mod order_end;
mod process;
mod replica_batch;
mod running;

pub use acknowledgement::Acknowledgement;
pub use control::Control;
pub use control_settings::ControlSettings;
pub use entry::Entry;
pub use entry_settings::EntrySettings;
pub use forwarding::Forwarding;
pub use link::{Link, Sending};
pub use logger::start_logger;
pub use mesh_listener::mesh_listener;
pub use mesh_outlet::MeshOutlet;
pub use message::Message;
pub use order_end::OrderEnd;
pub use process::Process;
pub use replica_batch::ReplicaBatch;

//! Control and entry processes that serve the routes of a replaceable configuration.
//!
//! [`Control`] is a control VM with a replica of the log and a hub; [`Entry`]
//! is an entry VM that follows hubs and forwards requests. Both have one
//! control thread that owns all control state, and traffic threads that read
//! the views it publishes. Front ends translate between their protocol and the
//! types here and hold no state of their own.

mod account_limits;
mod acknowledgement;
mod admission_gate;
mod admission_pass;
mod answer_delay;
mod attempt_guard;
mod backend_client;
mod command_result;
mod control;
mod control_settings;
mod entry;
mod entry_settings;
mod first_connections;
mod forward_admission;
mod forward_task;
mod forwarding;
mod group_guard;
mod group_task;
mod logger;
mod message;
mod node_id;
mod probe;
mod process;
mod quota_client;
mod replica_batch;
mod rpc_listener;
mod rpc_outlet;
mod running_exchange;
mod running_guard;
mod server_checks;

pub use account_limits::AccountLimits;
pub use acknowledgement::Acknowledgement;
pub use backend_client::{AcceptsFuture, AttemptFuture, BackendClient, OpenFuture};
pub use command_result::CommandResult;
pub use control::Control;
pub use control_settings::ControlSettings;
pub use entry::Entry;
pub use entry_settings::EntrySettings;
pub use forwarding::Forwarding;
pub use group_task::GroupTask;
pub use logger::start_logger;
pub use message::Message;
pub use process::Process;
pub use quota_client::QuotaClient;
pub use replica_batch::ReplicaBatch;
pub use rpc_listener::rpc_listener;
pub use rpc_outlet::RpcOutlet;

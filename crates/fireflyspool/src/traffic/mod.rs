//! Drivers of the decision code on the traffic threads.
//!
//! Each service has one task that owns its dispatcher, each query one task
//! that owns its coordinator, and one task owns admission. They read the
//! published view, feed events to the decision code and execute its actions.
//! No task waits for the control thread while it holds a lock.

mod admission_message;
mod admission_task;
mod caller_requests;
mod command_outcome;
mod control_client;
mod crash_warning;
mod entry_node;
mod node_metrics;
mod operator_requests;
mod owner_requests;
mod query_task;
mod running_guard;
mod service_calls;
mod service_message;
mod service_table;
mod service_task;
mod shared;
mod shared_reads;
mod show_view;
mod submission_task;

pub use admission_message::AdmissionMessage;
pub use admission_task::{AdmissionSender, AdmissionTask};
pub use command_outcome::CommandOutcome;
pub use control_client::ControlClient;
pub use entry_node::EntryNode;
pub use query_task::QueryTask;
pub use running_guard::RunningGuard;
pub use service_message::ServiceMessage;
pub use service_table::ServiceTable;
pub use service_task::{ServiceSender, ServiceTask};
pub use shared::Shared;
pub use shared_reads::SharedReads;
pub use show_view::show_view;
pub use submission_task::SubmissionTask;

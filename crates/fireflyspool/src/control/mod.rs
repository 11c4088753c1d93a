//! The control thread.
//!
//! One thread owns all control state of a process: on a control VM the replica
//! of the log, the data folder, the replicated state and, while it leads, the
//! roster; on an entry VM the lease holder. Other threads send it typed
//! [`Event`]s through a bounded [`Mailbox`] and read what it publishes; no
//! other thread accesses its state, so no lock is needed.
//!
//! The thread drains its mailbox in batches, lets the decision code handle the
//! events, writes and syncs what must be durable in one step, and only then
//! sends messages and replies (group commit).
//!
//! When the disk fails, the thread reports the error and either reopens the
//! data folder, if it has a [`VoterOpener`], or ends: a replica that cannot
//! store its votes must not go on voting.

mod attendance;
mod control_error;
mod control_thread;
mod environment;
mod event;
mod follower_driver;
mod hub_departures;
mod hub_driver;
mod hub_event;
mod hub_membership;
mod hub_rollouts;
mod idempotent_reply;
mod join_requests;
mod lease_driver;
mod mailbox;
mod mailbox_error;
mod membership_control;
mod membership_plan;
mod outlet;
mod propose_reply;
mod quota_driver;
mod table;
mod voter;
mod voter_apply;
mod voter_membership;
mod voter_opener;
mod voter_proposals;
mod voter_show;
mod waiter;

pub use attendance::Attendance;
pub use control_error::ControlError;
pub use control_thread::ControlThread;
pub use environment::Environment;
pub use event::Event;
pub use follower_driver::FollowerDriver;
pub use hub_driver::HubDriver;
pub use hub_event::HubEvent;
pub use idempotent_reply::IdempotentReply;
pub use join_requests::JoinRequests;
pub use lease_driver::LeaseDriver;
pub use mailbox::Mailbox;
pub use mailbox_error::MailboxError;
pub use membership_control::MembershipControl;
pub use membership_plan::MembershipPlan;
pub use outlet::Outlet;
pub use propose_reply::ProposeReply;
pub use quota_driver::QuotaDriver;
pub use table::Table;
pub use voter::Voter;
pub use voter_opener::VoterOpener;

//! Queueing of sub-requests and their placement on the backend servers this VM owns.
//!
//! Every backend server has one owner among the entry VMs. The owner holds all
//! its slots, so it alone decides what runs there and in which order. A
//! coordinator sends a [`SubRequest`] and gets exactly one [`SubOutcome`].
//!
//! [`Dispatcher`] is the state machine of one service. Its driver passes an
//! [`Event`], the latest view, the time and a random number, and executes the
//! returned [`Action`]s:
//!
//! - The `Answered`, `Submitted` and `Refused` events carry unchecked replies;
//!   the dispatcher checks that they belong to the attempt.
//! - An attempt stays open at the driver until its reply, the loss of its
//!   connection, its timeout, or the answer `Cancelled` or `Finished` to its
//!   cancellation; then the driver drops it. The cancellation is a separate
//!   request.
//! - Each `CancelAttempt` ends with one `CancelAnswered` or `CancelFailed`, each
//!   connection of an `OpenConnections` with one `ConnectionOpened` or `ConnectionFailed`.
//!
//! A sub-request waits in the queue of its target (a shard of one index
//! version, or any server for a submission) until a server with a free permit
//! takes it. The permit is held until the server is known to be free again,
//! which can be after the coordinator got the result.
//!
//! The methods of the dispatcher are split by topic: `acceptance` accepts and
//! ends sub-requests, `placement` matches them with servers, `feasibility` ends
//! those that no server can run, `replies` checks replies, `attempt_end` frees
//! connections and permits, `cancellation` cancels attempts, `health` and
//! `ejection` handle slow and failing servers, `maintenance` runs timers and
//! releases servers, `preconnect` opens connections, `sync` applies a new view.

mod acceptance;
mod action;
mod attempt;
mod attempt_end;
mod attempts;
mod backend_server;
mod backlog;
mod body;
mod cancellation;
mod config;
mod connections;
mod crash;
mod decision;
mod dispatcher;
mod ejection;
mod event;
mod failure_cause;
mod feasibility;
mod fleet;
mod gauges;
mod group;
mod health;
mod leaving;
mod maintenance;
mod pass_cause;
mod pending_sub;
mod placement;
mod placement_reason;
mod preconnect;
mod queue_key;
mod replies;
mod sample;
mod server;
mod server_core;
mod service_times;
mod serving;
mod share_credit;
mod skip_cause;
mod sub_outcome;
mod sub_request;
mod sub_state;
mod sub_states;
mod suspects;
mod suspicion;
mod sync;
mod target;
mod timers;
mod warming;
mod work;

pub use action::Action;
pub use backend_server::BackendServer;
pub use body::Body;
pub use config::Config;
pub use decision::Decision;
pub use dispatcher::Dispatcher;
pub use event::Event;
pub use failure_cause::FailureCause;
pub use gauges::Gauges;
pub use leaving::Leaving;
pub use pass_cause::PassCause;
pub use placement_reason::PlacementReason;
pub use serving::Serving;
pub use skip_cause::SkipCause;
pub use sub_outcome::SubOutcome;
pub use sub_request::SubRequest;
pub use warming::Warming;
pub use work::Work;

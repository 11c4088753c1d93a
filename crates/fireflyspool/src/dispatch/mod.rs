//! Work of an owner: sending sub-requests to the backend servers it owns.
//!
//! Every backend server has one owner among the entry VMs. The owner holds all
//! its slots, so it alone decides what runs there and in which order. A
//! coordinator hands over a [`SubRequest`] and gets exactly one [`SubOutcome`].
//!
//! [`Dispatcher`] is the state machine of one service. Its driver passes an
//! [`Event`], the latest view, the time and a random number, and executes the
//! returned [`Action`]s:
//!
//! - The `Refused` and `Answered` events carry replies as they came; the
//!   dispatcher checks that they belong to the attempt.
//! - An attempt stays open at the driver until its reply, its break, its
//!   timeout, or the answer `Cancelled` or `Finished` to its cancellation; then
//!   the driver drops it. The cancellation itself is a separate request.
//! - Each `CancelAttempt` ends with one `CancelAnswered` or `CancelFailed`, each
//!   connection of an `OpenConnections` with one `ConnectionOpened` or `ConnectionFailed`.
//!
//! A sub-request waits in the queue of its target (a shard of one index
//! version, or any server for a submission) until a server with a free permit
//! takes it. The permit is held until the server is known to be free again,
//! which can be later than the moment when the coordinator has its result.
//!
//! Parts: `intake` accepts and ends sub-requests, `placement` chooses servers
//! and work, `verdict` decides whether waiting makes sense, `replies` checks
//! what servers say, `cancellation` stops attempts, `health` and `ejection` judge servers, `upkeep` runs
//! timers, `connecting` opens connections, `sync` follows the view.

mod action;
mod attempt;
mod attempts;
mod backend_server;
mod backlog;
mod body;
mod cancellation;
mod config;
mod connecting;
mod connections;
mod crash;
mod decision;
mod dispatcher;
mod ejection;
mod ends;
mod event;
mod failure_cause;
mod fleet;
mod gauges;
mod group;
mod health;
mod intake;
mod leaving;
mod low_credit;
mod pass_cause;
mod place;
mod placement;
mod placement_reason;
mod places;
mod queue_key;
mod replies;
mod sample;
mod server;
mod server_core;
mod service_times;
mod serving;
mod skip_cause;
mod sub_outcome;
mod sub_request;
mod suspects;
mod suspicion;
mod sync;
mod target;
mod timers;
mod upkeep;
mod verdict;
mod waiting;
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

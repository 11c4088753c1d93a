//! Coordinator of one request.
//!
//! [`Coordinator`] sends one sub-request per shard to owners, and ends with
//! exactly one [`crate::outcome::Outcome`]. It decides about redundancy:
//!
//! - **Hedge**: a copy of a slow attempt goes to another owner, at most one
//!   per shard, within a budget; the losing attempt is cancelled.
//! - **Retry**: after a failure the shard is tried on another replica, within
//!   a budget. Nothing of a read is lost by that, but it is additional load.
//! - **Redirect**: an owner that states that nothing ran for a reason of its
//!   own (no server, no lease) is replaced by another one, each owner at most
//!   once per shard. This adds no load and needs no budget.
//!
//! **Crash suspicion.** A reset connection may mean that the request crashed
//! the server. From the first reset on, one shard alone is tried again; the
//! others wait for the result. If that attempt is answered, the others follow;
//! otherwise the request is not sent anywhere again, and the other members are
//! warned before its caller is answered ([`Action::Warn`]).
//!
//! **Versions.** All sub-requests name one index version. If owners state that
//! it is gone, the query moves as a whole to another version and discards
//! every answer of the old one.
//!
//! **Truth.** Coverage counts the shards whose answers are merged, against the
//! catalog's shard map. A query is "not run" only if every sub-request of it
//! ended as not run; one without an ending may have run.
//!
//! [`Submission`] is the counterpart for requests that must run at most once.
//! [`Budgets`] is what the requests of one entry VM share.

mod action;
mod attempt;
mod attempt_reason;
mod avoiding;
mod batch;
mod budgets;
mod coordinator;
mod decision;
mod ending;
mod entropy;
mod event;
mod fingerprint;
mod finished;
mod latency_window;
mod merge;
mod moving;
mod owner_loads;
mod pass_cause;
mod passed_over;
mod planned;
mod progress;
mod query;
mod replies;
mod retrying;
mod running;
mod scene;
mod sending;
mod service_stats;
mod stage;
mod submission;
mod suspicion;
mod token_bucket;

pub use action::Action;
pub use attempt_reason::AttemptReason;
pub use budgets::Budgets;
pub use coordinator::Coordinator;
pub use decision::Decision;
pub use event::Event;
pub use fingerprint::fingerprint;
pub use finished::Finished;
pub use latency_window::LatencyWindow;
pub use owner_loads::OwnerLoads;
pub use pass_cause::PassCause;
pub use passed_over::PassedOver;
pub use planned::Planned;
pub use query::Query;
pub use running::Running;
pub use service_stats::ServiceStats;
pub use submission::{
    ClaimAnswer, ClaimEnd, Claiming, Closed, Sent, Submission, SubmissionAction,
    SubmissionCoordinator, SubmissionEvent, Submit,
};
pub use token_bucket::TokenBucket;

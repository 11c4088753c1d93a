//! Scatter and gather for one request.
//!
//! [`Coordinator`] sends one sub-request per shard to the entry VMs that own
//! replicas of it, and ends with exactly one [`crate::outcome::Outcome`]. It
//! also decides about additional attempts:
//!
//! - **Hedge**: a copy of a slow attempt goes to another owner, at most one
//!   per shard, within a budget; the losing attempt is cancelled.
//! - **Retry**: after a failure the shard is tried on another replica, within
//!   a budget. A search is idempotent, so this is safe, but it adds load.
//! - **Redirect**: if an owner states that the sub-request did not run for a
//!   reason of its own (no server, no lease), another owner gets it, each owner
//!   at most once per shard. This adds no load and needs no budget.
//!
//! **Crash suspicion.** A reset connection may mean that the request crashed
//! the server. From the first reset on, only one shard is retried, as a probe;
//! the others wait for its result. If the probe is answered, the others are
//! retried too; otherwise the request is not sent anywhere again, and the other
//! members are warned before the caller gets its outcome ([`Action::Warn`]).
//!
//! **Versions.** All sub-requests name one index version. If owners state that
//! they no longer host it, the whole query starts again on another version and
//! discards every answer of the old one.
//!
//! **Accuracy of outcomes.** Coverage counts the shards whose answers are
//! merged, against the catalog's shard map. A query is "not run" only if every
//! sub-request of it ended as not run; one without a result may have run.
//!
//! [`Submission`] is the counterpart for requests that must run at most once.
//! [`Budgets`] is the state that the requests of one entry VM share.

mod action;
mod attempt;
mod attempt_reason;
mod avoiding;
mod batch;
mod budgets;
mod context;
mod coordinator;
mod decision;
mod ending;
mod event;
mod fingerprint;
mod finished;
mod latency_window;
mod merge;
mod owner_loads;
mod pass_cause;
mod passed_over;
mod planned;
mod query;
mod replies;
mod retrying;
mod running;
mod sending;
mod service_stats;
mod shard_progress;
mod shard_state;
mod split_mix64;
mod submission;
mod suspicion;
mod token_bucket;
mod version_change;

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

//! Forwarding of one caller request to backend servers, with hedges and retries.
//!
//! [`Exchange`] is a state machine: the end of an attempt or the current time
//! goes in, [`Action`]s come out. It treats a request to one service as a
//! query with one shard. Each shard gets a [`SubRequest`] with a typestate:
//! `SubRequest<Pending>` becomes `SubRequest<Answered>` by a response or
//! `SubRequest<Failed>` when no further attempt is allowed.
//!
//! # Hedges and retries
//!
//! An attempt that takes longer than most is hedged on another backend server,
//! one that fails is retried. Both need an idempotent route, an attempt left of
//! the route's limit and a retry from the [`crate::fleet::RetryBudget`]. An
//! attempt that certainly did not run may be sent to another backend server on
//! any route, within the same budget.
//!
//! # Partial answers
//!
//! A query that has enough shards is answered shortly before its latency
//! objective, with the number of missing shards: the value of an answer is the
//! square of the share of shards in it, and a late answer is worth only a small
//! part of that. Once the objective is missed, the query waits longer for the
//! missing shards, because more delay costs little; see [`Timing`].

mod action;
mod answered;
mod any_sub_request;
mod attempt;
mod attempt_end;
mod exchange;
mod exchange_ends;
mod exchange_overload;
mod exchange_sends;
mod failed;
mod likelihood;
mod merge;
mod outcome;
mod pending;
mod request;
mod response;
mod retry_time;
mod send;
mod sub_request;
mod timing;

pub use action::Action;
pub use answered::Answered;
pub use attempt_end::AttemptEnd;
pub use exchange::Exchange;
pub use failed::Failed;
pub use merge::{RECORD_BYTES, merge_top};
pub use outcome::Outcome;
pub use pending::Pending;
pub use request::Request;
pub use response::Response;
pub use send::Send;
pub use sub_request::SubRequest;
pub use timing::Timing;

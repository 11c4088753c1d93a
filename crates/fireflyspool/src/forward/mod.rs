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
//! # Groups
//!
//! Shards that an entry VM of another zone reaches better are delegated to it as a
//! [`Group`], and so is a share of the shards if there are so many that one VM takes long to
//! query them. A [`GroupAnswer`] has their records merged. The VM that delegates hedges and
//! retries the shards that an answer lacks; [`crate::fleet`] decides what goes where.
//!
//! The records of an answer to the caller are those of the shards whose signatures it bears,
//! each once, whatever arrives in whatever order. So the answer to a group is merged as a whole,
//! in place of all that came of its shards before, or refused if it names a shard whose records
//! are merged already; a group with such an answer counts as broken. A VM that reports a shard
//! as not running sends nothing more for it.
//!
//! # Contents that crash servers
//!
//! If a server crashes during an attempt and none has responded yet, the request itself may be
//! the cause. Nothing is hedged or retried then before a server responds; [`crate::containment`]
//! decides which contents are refused.
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
mod caution;
mod delegated_shard;
mod delegation;
mod exchange;
mod exchange_bar;
mod exchange_budget;
mod exchange_caution;
mod exchange_ends;
mod exchange_gathering;
mod exchange_groups;
mod exchange_overload;
mod exchange_sends;
mod failed;
mod gathered_group;
mod group;
mod group_answer;
mod group_end;
mod likelihood;
mod merge;
mod missing_shard;
mod outcome;
mod pending;
mod request;
mod response;
mod retry_time;
mod running_group;
mod send;
mod sub_request;
mod timing;

pub use action::Action;
pub use answered::Answered;
pub use attempt_end::AttemptEnd;
pub use delegation::Delegation;
pub use exchange::Exchange;
pub use failed::Failed;
pub use group::Group;
pub use group_answer::GroupAnswer;
pub use group_end::GroupEnd;
pub use likelihood::forecast;
pub use merge::{RECORD_BYTES, merge_top};
pub use missing_shard::MissingShard;
pub use outcome::Outcome;
pub use pending::Pending;
pub use request::Request;
pub use response::Response;
pub use retry_time::retry_after_start;
pub use send::Send;
pub use sub_request::SubRequest;
pub use timing::Timing;

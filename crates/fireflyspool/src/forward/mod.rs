//! The way of one request from a caller to backend servers and back.
//!
//! [`Exchange`] is a state machine: the end of an attempt or the current time
//! goes in, [`Action`]s come out. It treats a request to one service as a
//! query with one shard. Each shard is a [`Part`] with a typestate:
//! `Part<Open>` becomes `Part<Filled>` by an answer or `Part<Lost>` when
//! nothing more may be tried.
//!
//! # Hedges and retries
//!
//! An attempt that takes longer than most is hedged on another backend server,
//! one that fails is retried. Both need an idempotent route, a free attempt of
//! the route and a repeat of the [`crate::fleet::RepeatBudget`]. An attempt
//! that certainly did not run may be sent elsewhere on any route.
//!
//! # Partial answers
//!
//! A query that has enough shards is answered shortly before its latency
//! objective, with the number of missing shards: an answer is worth the square
//! of the share of shards in it, and a late one a small part of that. After the
//! objective it waits longer for the missing shards, because time no longer
//! counts much; see [`Timing`].

mod action;
mod answer;
mod any_part;
mod attempt;
mod attempt_end;
mod exchange;
mod exchange_ends;
mod exchange_overload;
mod exchange_sends;
mod filled;
mod likelihood;
mod lost;
mod merge;
mod open;
mod part;
mod request;
mod send;
mod timing;
mod verdict;

pub use action::Action;
pub use answer::Answer;
pub use attempt_end::AttemptEnd;
pub use exchange::Exchange;
pub use filled::Filled;
pub use lost::Lost;
pub use merge::{RECORD_BYTES, merge_top};
pub use open::Open;
pub use part::Part;
pub use request::Request;
pub use send::Send;
pub use timing::Timing;
pub use verdict::Verdict;

//! Rollouts: moving a service to backend servers of another version.
//!
//! The replicated log holds the latest [`Rollout`] of each service in one of three states. While
//! it is in service, entry VMs send a share of their first attempts to the target version and
//! count the responses of both versions ([`Tally`]). The control VM that collects the reports of
//! a service ([`Collector`]) compares the versions at the same time and on the same route
//! ([`Evidence`]) and proposes a [`Step`] to the log.
//!
//! The share stays below the bound on exposure until the end, because requests that reach the
//! target version cannot be taken back if it turns bad later. So a good version is completed
//! shortly before the deadline.
//!
//! A collector that fails is replaced by the next control VM. Reports hold all counts since the
//! start of the rollout, so the new one soon knows what the former one knew. Without a leader
//! nothing advances; entry VMs whose view is not confirmed use the old version only.
//!
//! Nothing here reads a clock or the network; the owners are the control threads.

mod any_rollout;
mod cell;
mod collector;
mod completed;
mod counts;
mod evidence;
mod in_service;
mod interval;
mod limits;
mod quality;
mod reason;
mod report;
mod rolled_back;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod rollout;
mod sample;
mod situation;
mod start;
mod step;
mod tally;
mod threshold;
mod watch;

pub use any_rollout::AnyRollout;
pub use cell::Cell;
pub use collector::Collector;
pub use completed::Completed;
pub use counts::Counts;
pub use evidence::Evidence;
pub use in_service::InService;
pub use limits::Limits;
pub use quality::Quality;
pub use reason::Reason;
pub use report::Report;
pub use rolled_back::RolledBack;
pub use rollout::Rollout;
pub use sample::Sample;
pub use situation::Situation;
pub use start::Start;
pub use step::Step;
pub use tally::Tally;

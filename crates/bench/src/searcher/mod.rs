//! Stand-in backend servers.
//!
//! One process hosts many searchers. Each has a [`Machine`], the state machine
//! that decides everything from events, the current time and random numbers.
//! [`Driver`] is the task that owns the machine. [`Gate`] accepts the
//! connections of the announced address, enforces the connection limit and the
//! set-up time, and forwards bytes to a rocket instance on a second loopback
//! port, because rocket does not expose its listener. That second address
//! bypasses the limits and is the one to use for `/control`.

mod action;
mod advance;
mod announcer;
mod behaviour;
mod cancel_reply;
mod clock;
mod control;
mod counters;
mod driver;
mod event;
mod gate;
mod group;
mod handle;
mod instruct;
mod job;
pub mod life;
mod listing;
mod machine;
mod message;
mod process;
mod profile;
mod routes;
mod settings;
mod sight;
mod verdict;
mod work;
mod workload;

pub use action::Action;
pub use announcer::Announcer;
pub use behaviour::Behaviour;
pub use cancel_reply::CancelReply;
pub use clock::Clock;
pub use control::Control;
pub use counters::Counters;
pub use driver::Driver;
pub use event::Event;
pub use gate::Gate;
pub use group::Group;
pub use handle::Handle;
pub use job::Job;
pub use listing::Listing;
pub use machine::Machine;
pub use message::Message;
pub use process::run;
pub use profile::Profile;
pub use settings::Settings;
pub use sight::Sight;
pub use verdict::Verdict;
pub use work::Work;
pub use workload::Workload;

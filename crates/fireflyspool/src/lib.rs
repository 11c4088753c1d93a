//! A query tier over many shards.
//!
//! fireflyspool stands between callers and the backend servers that hold the
//! shards of a searchable collection. A query passes through these modules in
//! order: `rim` (the listener), `admission`, `plan`, `gather` on the entry VM
//! that received it, then [`dispatch`] on the entry VM that owns the chosen
//! backend server, and back.
//!
//! An operator's command passes through `rim`, `control`, `consensus` and
//! [`state`]; the new state reaches every entry VM as a [`view::View`].
//!
//! Modules that make decisions are state machines without sockets, files,
//! clocks, threads or random sources: an event and the current time go in,
//! actions come out. `docs/design.md` explains the reasons.

pub mod access;
pub mod admission;
pub mod backend;
pub mod cli;
pub mod configuration;
pub mod consensus;
pub mod containment;
pub mod control;
pub mod directory;
pub mod dispatch;
pub mod fleet;
pub mod follow;
pub mod forward;
pub mod gather;
pub mod hashing;
pub mod hub;
pub mod ids;
pub mod language;
pub mod lease;
pub mod node;
pub mod outcome;
pub mod peak;
pub mod plan;
pub mod platform;
pub mod quota;
pub mod registry;
pub mod rim;
pub mod rollout;
pub mod roster;
pub mod settings;
pub mod shutdown;
pub mod sorted;
pub mod state;
pub mod storage;
pub mod telemetry;
pub mod timer;
pub mod traffic;
pub mod view;

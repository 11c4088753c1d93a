//! Replicated log: election, replication, membership and snapshots.
//!
//! [`Replica`] is a state machine. Its driver passes in an [`Event`], the
//! current time and a random number, and executes the returned [`Action`]s in
//! order. A [`Record`] of `Action::Persist` must be synced before any later
//! action of the same or a later batch is executed; a driver may collect the
//! actions of several events, sync all their records at once and then execute
//! the rest. If a record cannot be synced, the replica must not be used again.
//!
//! The algorithm is Raft with pre-vote, a leader lease, learners, one
//! membership change at a time, and snapshots sent in chunks. Inside, the life
//! cycle is a typestate: `Participant<Follower>`, `Participant<PreCandidate>`,
//! `Participant<Candidate>` and `Participant<Leader>`; each transition consumes
//! the previous state.
//!
//! # Bootstrap
//!
//! A replica without log entries that lists founding members takes part in the
//! first election, which must be unanimous. The first entry records the
//! incarnation of every founding member. From then on a reply counts only if
//! it carries the recorded incarnation, and requests are addressed to it, so a
//! member that lost its disk cannot vote again under the same number.
//!
//! # Leader lease
//!
//! A follower that heard from a leader within `Config::election_min` refuses
//! votes and pre-votes. A replica that started less than that ago refuses them
//! too, because it may have heard from a leader before it restarted. A leader
//! may grant leases while a majority has acknowledged a message that it sent
//! within `Config::leader_lease`, which is shorter.

mod action;
mod any_participant;
mod campaign;
mod candidate;
mod change_refusal;
mod compact_bytes;
mod config;
mod content;
mod core;
mod entry;
mod envelope;
mod event;
mod follower;
mod follower_replication;
mod follower_status;
mod incoming_snapshot;
mod leader;
mod log;
mod member;
mod member_kind;
mod members;
mod membership_change;
mod message;
mod participant;
mod pre_candidate;
mod progress;
mod record;
mod recovered_state;
mod replica;
mod replication;
mod role;
mod snapshot;
mod snapshot_transfer;
mod status;
mod tally;
mod vote;
mod vote_replies;
mod vote_request;
mod voting;

pub use action::Action;
pub use change_refusal::ChangeRefusal;
pub use config::Config;
pub use content::Content;
pub use entry::Entry;
pub use envelope::Envelope;
pub use event::Event;
pub use follower_status::FollowerStatus;
pub use member::Member;
pub use member_kind::MemberKind;
pub use members::Members;
pub use membership_change::MembershipChange;
pub use message::Message;
pub use record::Record;
pub use recovered_state::RecoveredState;
pub use replica::Replica;
pub use role::Role;
pub use snapshot::Snapshot;
pub use status::Status;
pub use vote::Vote;
pub use vote_request::VoteRequest;

//! What a control VM knows about live VMs and backend servers.
//!
//! Every control VM has a [`Hub`]. Backend servers report to any of them, and
//! hubs push changes to each other in a [`Batch`], at once when something
//! changes and at least every [`Config::exchange_interval`], so a batch is a heartbeat of its
//! sender too. An entry VM follows one hub with a long poll
//! ([`FollowRequest`], [`FollowReply`]): the poll is its own heartbeat, and the
//! reply carries the configuration, the zones taken out and the changes of
//! backend servers that it lacks.
//!
//! Nothing here is durable. A hub that restarts learns the backend servers
//! from their next heartbeats, and an entry VM keeps what it knows meanwhile.
//! A report that a server leaves is acknowledged only once a majority of the
//! hubs holds it, because its sender may rely on the acknowledgement and the
//! hub may be lost right after it.
//!
//! [`Hub`] is a state machine: calls with the current time go in, [`Action`]s
//! come out. The control thread owns it.

mod ack;
mod action;
mod address_book;
mod address_query;
mod batch;
mod config;
mod confirmation;
mod follow_reply;
mod follow_request;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod hub;
mod hub_followers;
mod hub_info;
mod hub_peers;
mod known_member;
mod member;
mod member_record;
mod observation;
mod outliers;
mod peer;
mod pending_departure;
mod pending_poll;
mod symptom;
mod zones_out;

pub use ack::Ack;
pub use action::Action;
pub use address_book::AddressBook;
pub use address_query::AddressQuery;
pub use batch::Batch;
pub use config::Config;
pub use confirmation::Confirmation;
pub use follow_reply::FollowReply;
pub use follow_request::FollowRequest;
pub use hub::Hub;
pub use hub_info::HubInfo;
pub use member::Member;
pub use member_record::MemberRecord;
pub use observation::Observation;
pub use symptom::Symptom;
pub use zones_out::ZonesOut;

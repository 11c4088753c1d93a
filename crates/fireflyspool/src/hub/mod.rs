//! State of live entry VMs and backend servers on a control VM.
//!
//! Every control VM has a [`Hub`]. A backend server reports to any one of them,
//! and hubs push changes to each other in a [`Batch`], at once when something
//! changes and at least every [`Config::exchange_interval`], so a batch is also
//! a heartbeat of its sender. An entry VM follows one hub with a long poll
//! ([`FollowRequest`], [`FollowReply`]): the poll is the entry VM's heartbeat,
//! and the reply carries the configuration, the zones taken out and the changes
//! of backend servers that the entry VM lacks.
//!
//! Only departures are durable. A restarted hub learns the backend servers from
//! their next heartbeats, and entry VMs keep their view meanwhile. A report that
//! a server leaves takes effect at once, and is acknowledged only once a majority
//! of the hubs has it and the replicated log holds it ([`Action::Record`]): the
//! server may rely on the acknowledgement, and all control VMs may fail right
//! after it was sent. A hub that starts lists no server as serving to entry VMs
//! before it has recovered these departures from the log
//! ([`Hub::has_recovered`]), since a late report may be the first that it hears.
//!
//! [`Hub`] is a state machine owned by the control thread: calls with the
//! current time go in, [`Action`]s come out.

mod ack;
mod action;
mod address_book;
mod address_query;
mod batch;
mod config;
mod confirmation;
mod covered;
mod delegate;
mod follow_reply;
mod follow_request;
#[allow(clippy::module_inception, reason = "a file is named after its type")]
mod hub;
mod hub_departures;
mod hub_evidence;
mod hub_followers;
mod hub_info;
mod hub_peers;
mod known_member;
mod log_state;
mod log_tail;
mod member;
mod member_record;
mod observation;
mod outliers;
mod peer;
mod pending_departure;
mod pending_poll;
mod proof;
mod recovery;
mod report_series;
mod symptom;
mod zones_out;

pub use ack::Ack;
pub use action::Action;
pub use address_book::AddressBook;
pub use address_query::AddressQuery;
pub use batch::Batch;
pub use config::Config;
pub use confirmation::Confirmation;
pub use delegate::Delegate;
pub use follow_reply::FollowReply;
pub use follow_request::FollowRequest;
pub use hub::Hub;
pub use hub_info::HubInfo;
pub use log_state::LogState;
pub use log_tail::LogTail;
pub use member::Member;
pub use member_record::MemberRecord;
pub use observation::Observation;
pub use symptom::Symptom;
pub use zones_out::ZonesOut;

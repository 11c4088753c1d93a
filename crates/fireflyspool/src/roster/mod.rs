//! Soft state of the leader: live entry VMs, backend servers and their owners.
//!
//! Nothing here is in the replicated log. Every entry VM renews its lease about
//! once a second with a [`RenewRequest`] and gets a [`Grant`] with the catalog
//! changes and roster records it does not hold yet. A new leader builds its
//! [`Roster`] from these requests.
//!
//! # Announcements
//!
//! Announcements of one backend server are ordered by incarnation and sequence;
//! `leaving` is final for an incarnation. A record expires 5 s after the last
//! announcement. [`Incarnations`] remembers the newest incarnation of a gone
//! backend server for [`Config::incarnation_retention`] and at most
//! [`Config::server_limit`] names; as long as it does, an older one is refused.
//! Every holder keeps the same memory, so a new leader without one cannot bring
//! an older incarnation back into a holder's view.
//!
//! # Ownership
//!
//! One process may act on a backend server: the one published as its owner while
//! its lease is valid. The leader grants it to another process only when the
//! first has released it, has shown that it no longer holds it although it read
//! the grant, or its lease has ended here, where it ends later than at its holder.
//!
//! A new leader grants nothing until its lease duration has passed since its
//! election. Until then processes report what they hold: the first report of a
//! process is a claim that only blocks the backend server, because it may have
//! been delayed; a report by a process that has read a reply of this term
//! confirms the claim. The leader is settled after that time.
//!
//! A backend server of a zone that is taken out receives no work and has no
//! owner. An entry VM of such a zone owns backend servers of other zones only
//! if no other entry VM can.
//!
//! # Suspects
//!
//! Deaths of backend servers are counted per fingerprint, each incarnation once,
//! for at most [`Config::suspect_limit`] fingerprints; a fingerprint without a
//! further death is dropped after [`Config::suspect_retention`]. A holder reports
//! the suspects it knows to a new leader.

mod candidate;
mod catalog_update;
mod change_log;
mod changed_announcement;
mod config;
mod content;
mod crash;
mod freshness;
mod grant;
mod holder_key;
mod in_force;
mod incarnations;
mod lease;
mod lease_table;
mod member_change;
mod member_table;
mod ownership;
mod placement;
mod rank;
mod record_key;
mod refresh;
mod renew_reply;
mod renew_request;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod roster;
mod seat;
mod server_change;
mod server_state;
mod server_table;
mod suspect;
mod suspect_change;
mod suspect_list;
mod tables;
mod update;
mod version;

pub use catalog_update::CatalogUpdate;
pub(crate) use change_log::ChangeLog;
pub use changed_announcement::ChangedAnnouncement;
pub use config::{ANNOUNCEMENT_LIFETIME, Config, LEASE_DURATION, RENEWAL_INTERVAL};
pub(crate) use content::{has_same_content, is_outdated};
pub use crash::Crash;
pub use freshness::Freshness;
pub use grant::Grant;
pub use in_force::InForce;
pub use incarnations::Incarnations;
pub use member_change::MemberChange;
pub(crate) use record_key::RecordKey;
pub use refresh::Refresh;
pub use renew_reply::RenewReply;
pub use renew_request::RenewRequest;
pub use roster::Roster;
pub use server_change::ServerChange;
pub use suspect_change::SuspectChange;
pub use update::Update;
pub use version::Version;

//! Soft state of the leader: entry VMs with a lease, backend servers and their owners.
//!
//! None of this is in the replicated log. Every entry VM renews its lease about
//! once a second with a [`RenewRequest`] and gets a [`Grant`] with the catalog
//! changes and roster records that it does not hold yet. A new leader rebuilds its
//! [`Roster`] from these requests.
//!
//! # Announcements
//!
//! Announcements of one backend server are ordered by incarnation and sequence;
//! `leaving` is final for an incarnation. A record expires 5 s after the last
//! announcement by default. [`Incarnations`] keeps the newest incarnation of a dropped backend
//! server for [`Config::incarnation_retention`], for at most [`Config::server_limit`]
//! backend servers; until then an older incarnation is refused. Every holder keeps the
//! same table, so a new leader, whose table is empty, cannot bring an older incarnation
//! back into a holder's view.
//!
//! # Ownership
//!
//! Only the process published as the owner of a backend server may send work to it,
//! and only while its lease is valid. The leader grants the backend server to another
//! process only after the owner has released it, has read the grant but does not report
//! the backend server as held, or its lease has expired at the leader, where it expires
//! later than at the holder.
//!
//! A new leader grants no ownership until its lease duration has passed since its
//! election; after that it is settled. Until then processes report what they hold. The
//! first report of a process may have been delayed, so it is only a claim, which
//! prevents a grant to another process. A report by a process that has read a reply of
//! this term confirms the claim.
//!
//! A backend server of a zone that is taken out receives no work and has no owner. An
//! entry VM of such a zone owns backend servers of other zones only if no other entry
//! VM is available.
//!
//! # Suspects
//!
//! A request whose content crashes backend servers must not go on crashing others.
//! Crashes are counted per fingerprint of the content, each incarnation once, for at
//! most [`Config::suspect_limit`] fingerprints, the suspects. A suspect is dropped if
//! no further crash is reported for [`Config::suspect_retention`]. A holder reports
//! the suspects it knows to a new leader.

mod assignment;
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

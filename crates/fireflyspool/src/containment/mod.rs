//! Contents of requests that crash the backend servers which run them.
//!
//! A request that makes a server crash comes back: its caller repeats it, under another id and
//! at another entry VM. What its repeats have in common is their content, which VMs name by a
//! [fingerprint](crate::ids::Fingerprint). A [`Ledger`] holds the [`Crash`]es that attempts of
//! a content have seen, and derives a [`Verdict`] from them:
//!
//! - No crash is known: requests are accepted.
//! - Some are known: each request is sent to one server first. Only if that one responds does
//!   the request go on, because a server that crashes for another reason, with its zone or by
//!   chance, crashes under whatever it runs at the time.
//! - Enough are known and one of them happened during such a probe: requests are refused for a
//!   time that grows with each probe that fails.
//!
//! A verdict is a function of a set of crashes, and ledgers merge by the union of their sets, so
//! it does not matter on which way and in which order VMs learn of them. Entry VMs record what
//! their attempts see and tell a control VM; control VMs tell each other and all entry VMs.
//! What a failed probe adds is passed on at once; other crashes wait for the next regular
//! message, and few contents are added in a second, so that the loss of many servers causes few
//! messages.
//!
//! Nothing is durable: the ledger of a VM that restarts is filled by the others.

mod crash;
mod ledger;
mod record;
mod suspect;
mod verdict;

pub use crash::Crash;
pub use ledger::Ledger;
pub use record::Record;
pub use verdict::Verdict;

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
//! # Attempts that were given up
//!
//! A caller that leaves ends its request, and with it the attempts that would have met a crash;
//! so do a deadline, and a VM that gives up a group it has delegated. A server that goes on
//! after its connection was closed may still end under such an attempt. So what an attempt
//! would have seen is learned in other ways:
//!
//! - A [`Watch`] keeps the attempts of requests to which no server has responded. If the
//!   incarnation is found to have ended, by a check of its listener, by a failure of another
//!   attempt or by a later incarnation, each of them counts as a crash that is *unseen*. If it
//!   is found alive after the time that the attempt had, the attempt is forgotten, and so it is
//!   if the server states that it leaves.
//! - A probe goes on without its caller, so that its end is always seen. Only contents under
//!   which servers have ended are probed, so little work is done for nobody.
//!
//! Many innocent attempts may be under way at a server that ends, so unseen crashes make a
//! content suspect like others, but it takes one more probe to refuse it on their account.
//!
//! Nothing is durable: the ledger of a VM that restarts is filled by the others.

mod check;
mod crash;
mod given_up;
mod ledger;
mod record;
mod recurrence;
mod suspect;
mod verdict;
mod watch;
mod watched;

pub use check::Check;
pub use crash::Crash;
pub use given_up::GivenUp;
pub use ledger::Ledger;
pub use record::Record;
pub use verdict::Verdict;
pub use watch::Watch;

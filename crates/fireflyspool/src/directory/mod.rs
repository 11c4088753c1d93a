//! Directory of entry VMs: which addresses a caller should use.
//!
//! There is no load balancer in front of the tier. A caller asks any entry VM,
//! keeps the addresses for their lifetime and connects to the first one that
//! works. The order comes from weighted rendezvous hashing by caller: it stays
//! the same while the members and their load do, so that connections are
//! reused, and a member's share of callers follows its free capacity. A member
//! that is leaving is not listed; one that joins is listed as old address lists
//! expire, so its load grows over one lifetime.

mod address_list;
mod ranking;

pub use address_list::AddressList;
pub use ranking::{entry_addresses, fallback_addresses};

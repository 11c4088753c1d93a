//! Address answers: which entry VMs a caller should use.
//!
//! No balancer stands in front of the tier. A caller asks any entry VM, keeps
//! the answer for its lifetime and connects to the first address that works.
//! The answer is a weighted rendezvous choice by caller: it stays the same
//! while the members and their load stay the same, so that connections live,
//! and a member's share of callers moves in proportion to its free capacity.
//! A member that leaves is in no answer; one that joins is taken up as old
//! answers run out, so its load grows over one lifetime.

mod address_answer;
mod ranking;

pub use address_answer::AddressAnswer;
pub use ranking::{answer, other_addresses};

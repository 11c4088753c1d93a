//! Hash that is the same on every VM and in every release.
//!
//! Placement by rendezvous hashing and fingerprints of requests must agree
//! between processes, so the hash of the standard library, which may change
//! between releases, is not used for them.

mod stable_hasher;

pub use stable_hasher::StableHasher;

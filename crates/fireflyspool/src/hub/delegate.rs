//! Entry VM that gathers groups of shards for others.

use std::net;

use crate::{hashing, ids};

/// Entry VM to which another one may delegate a group of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Delegate {
    /// Listener for groups.
    pub listener: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Incarnation of the VM's process.
    pub incarnation: ids::Incarnation,
}

impl Delegate {
    /// Checksum of a list in any order; 0 for an empty one.
    pub fn checksum(delegates: &[Self]) -> u64 {
        let hash = |delegate: &Self| {
            let hasher = hashing::StableHasher::new().text(&delegate.listener.to_string());
            hasher.number(delegate.incarnation).finish()
        };
        let sum = delegates.iter().map(hash).fold(0, u64::wrapping_add);
        // 53 bits, which a JSON number holds exactly in any parser.
        sum >> 11
    }
}

//! Description of a control VM.

use std::net;

use crate::{hashing, ids};

/// Addresses and zone that a control VM reports in its batches.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HubInfo {
    /// Listener for other processes of the tier.
    pub rpc: net::SocketAddr,
    /// Address for backend servers and operators.
    pub control: net::SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Incarnation of the VM's process.
    pub incarnation: ids::Incarnation,
}

impl HubInfo {
    /// The one among control VMs that collects the observations about a backend server or a
    /// service, by rendezvous hashing.
    pub fn observer<'a>(hubs: &'a [Self], subject: &str) -> Option<&'a Self> {
        let weight = |info: &&Self| {
            let hasher = hashing::StableHasher::new().text(subject);
            hasher.text(&info.rpc.to_string()).finish()
        };
        hubs.iter().max_by_key(weight)
    }

    /// Checksum of a list of control VMs in any order; 0 for an empty one.
    pub fn checksum(hubs: &[Self]) -> u64 {
        let hash = |info: &Self| {
            let hasher = hashing::StableHasher::new().text(&info.rpc.to_string());
            hasher.number(info.incarnation).finish()
        };
        let sum = hubs.iter().map(hash).fold(0, u64::wrapping_add);
        // 53 bits, which a JSON number holds exactly in any parser.
        sum >> 11
    }
}

//! Node ids of VMs.
//!
//! A node id contains the listener of its VM, so that a replica that restarts can
//! reach the members in its log before it has applied any of it. Each new data
//! folder at the same listener gets another generation, because the node id of a
//! lost folder must never vote again.

use std::net;

use crate::ids;

/// Width of a port in bits.
const PORT_BITS: u32 = 16;

/// Width of a listener in bits: IPv4 address and port.
const LISTENER_BITS: u32 = 48;

/// Node id of the VM at a listener; founding members have generation 0.
///
/// Only the lowest 32 bits of an IPv6 address are encoded, so its listener cannot
/// be decoded.
pub(super) fn encode(listener: net::SocketAddr, generation: u16) -> ids::NodeId {
    let host = match listener.ip() {
        net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        net::IpAddr::V6(ip) => u64::try_from(u128::from(ip) & u128::from(u32::MAX)).unwrap_or(0),
    };
    let listener = (host << PORT_BITS) | u64::from(listener.port());
    (u64::from(generation) << LISTENER_BITS) | listener
}

/// Listener of the VM with that node id; valid for IPv4 only.
pub(super) fn listener(node: ids::NodeId) -> net::SocketAddr {
    let port = u16::try_from(node & u64::from(u16::MAX)).unwrap_or_default();
    let host = u32::try_from((node >> PORT_BITS) & u64::from(u32::MAX)).unwrap_or_default();
    net::SocketAddr::from((net::Ipv4Addr::from(host), port))
}

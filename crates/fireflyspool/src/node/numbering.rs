//! Numbers of VMs.
//!
//! A number holds the listener of its VM, so that a replica that restarts can
//! reach the members in its log before it has applied any of it. Each new data
//! folder at the same listener gets another generation, because the number of a
//! lost folder must never vote again.

use std::net;

use crate::ids;

/// Bits of a port.
const PORT_BITS: u32 = 16;

/// Bits of a listener: address and port.
const LISTENER_BITS: u32 = 48;

/// Number of the VM at a listener; founding members have generation 0.
///
/// Of an IPv6 address only the lower half of its interface part counts, so its
/// listener cannot be read back.
pub(super) fn number_of(listener: net::SocketAddr, generation: u16) -> ids::NodeId {
    let host = match listener.ip() {
        net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        net::IpAddr::V6(ip) => u64::try_from(u128::from(ip) & u128::from(u32::MAX)).unwrap_or(0),
    };
    let listener = (host << PORT_BITS) | u64::from(listener.port());
    (u64::from(generation) << LISTENER_BITS) | listener
}

/// Listener of the VM with that number.
pub(super) fn listener_of(number: ids::NodeId) -> net::SocketAddr {
    let port = u16::try_from(number & u64::from(u16::MAX)).unwrap_or_default();
    let host = u32::try_from((number >> PORT_BITS) & u64::from(u32::MAX)).unwrap_or_default();
    net::SocketAddr::from((net::Ipv4Addr::from(host), port))
}

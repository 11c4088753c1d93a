//! What the control thread needs from the rest of the process.

use std::{net, time};

use crate::{consensus, ids, roster, view};

/// Side effects of the control thread.
///
/// Every method returns at once; network traffic goes on elsewhere.
pub trait Outlet: Send {
    /// Sends a message to another replica; it may be lost.
    fn send(&self, address: net::SocketAddr, envelope: consensus::Envelope);

    /// Sends a renewal to a control VM and reports its end as an event.
    fn renew(&self, node: ids::NodeId, address: net::SocketAddr, request: roster::RenewRequest);

    /// Publishes a view to the traffic threads.
    fn publish(&self, view: view::View);

    /// Reports [`crate::control::Event::Released`] for each of these backend
    /// servers once no connection to it is left.
    fn give_up(&self, servers: Vec<ids::ServerName>);

    /// Publishes the addresses of the control VMs.
    fn publish_control(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>);

    /// Raises [`crate::control::Event::Timer`] at that time; replaces an earlier call.
    fn wake_at(&self, at: time::Instant);

    /// A random number.
    fn entropy(&self) -> u64;

    /// Milliseconds since the Unix epoch.
    fn wall_clock(&self) -> u64;
}

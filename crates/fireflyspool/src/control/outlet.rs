//! What the control thread needs from the rest of the process.

use std::net;

use crate::{consensus, control, fleet, hub, ids, roster, state, view};

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

    /// Sends a batch to another hub and reports [`crate::control::HubEvent::Exchanged`].
    ///
    /// Only control VMs with a hub need this and the next two.
    fn exchange(&self, _peer: net::SocketAddr, _batch: hub::Batch) {}

    /// Sends an order to a control VM and reports [`crate::control::HubEvent::Joined`].
    fn order(&self, _peer: net::SocketAddr, _order: state::IdempotentCommand) {}

    /// Publishes the addresses for callers.
    fn publish_addresses(&self, _book: hub::AddressBook) {}

    /// Polls a control VM and reports [`crate::control::Event::Polled`].
    ///
    /// Only entry VMs that follow a hub need this and the next three.
    fn follow(&self, _hub: net::SocketAddr, _request: hub::FollowRequest) {}

    /// Tells a control VM what attempts showed; the message may be lost.
    fn report_observations(&self, _hub: net::SocketAddr, _reports: Vec<hub::Observation>) {}

    /// Publishes what this entry VM knows to the traffic threads.
    fn publish_fleet(&self, _view: fleet::View) {}

    /// Backend servers that the traffic threads do not use until they are heard again.
    fn suspended(&self) -> Vec<ids::ServerName> {
        Vec::new()
    }

    /// Time and chance.
    fn environment(&self) -> &dyn control::Environment;
}

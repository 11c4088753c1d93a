//! What the control thread needs from the rest of the process.

use std::net;

use crate::{consensus, control, fleet, hub, ids, roster, state, view};

/// Side effects of the control thread.
///
/// Every method returns at once; network traffic goes on elsewhere.
pub trait Outlet: Send {
    /// Sends a message to another replica; it may be lost.
    fn send_envelope(&self, address: net::SocketAddr, envelope: consensus::Envelope);

    /// Sends a renewal to a control VM and reports its end as an event.
    fn send_renewal(
        &self,
        node: ids::NodeId,
        address: net::SocketAddr,
        request: roster::RenewRequest,
    );

    /// Publishes a view to the traffic threads.
    fn publish_view(&self, view: view::View);

    /// Reports [`crate::control::Event::ConnectionsClosed`] for each of these backend
    /// servers once no connection to it is left.
    fn release_servers(&self, servers: Vec<ids::ServerName>);

    /// Publishes the addresses of the control VMs.
    fn publish_control_addresses(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>);

    /// Sends a batch to another hub and reports [`crate::control::HubEvent::ExchangeEnded`].
    ///
    /// Only control VMs with a hub need this and the next two.
    fn send_batch(&self, _peer: net::SocketAddr, _batch: hub::Batch) {}

    /// Sends an order to a control VM and reports [`crate::control::HubEvent::JoinEnded`].
    fn send_order(&self, _peer: net::SocketAddr, _order: state::IdempotentCommand) {}

    /// Publishes the addresses for callers.
    fn publish_addresses(&self, _book: hub::AddressBook) {}

    /// Polls a control VM and reports [`crate::control::Event::PollEnded`].
    ///
    /// Only entry VMs that follow a hub need this and the next three.
    fn send_poll(&self, _hub: net::SocketAddr, _request: hub::FollowRequest) {}

    /// Tells a control VM what attempts showed; the message may be lost.
    fn report_observations(&self, _hub: net::SocketAddr, _reports: Vec<hub::Observation>) {}

    /// Publishes what this entry VM knows to the traffic threads.
    fn publish_fleet(&self, _view: fleet::View) {}

    /// Backend servers that the traffic threads do not use until they are heard again.
    fn suspended_servers(&self) -> Vec<ids::ServerName> {
        Vec::new()
    }

    /// Time and chance.
    fn environment(&self) -> &dyn control::Environment;
}

//! What the control thread needs from the rest of the process.

use std::net;

use crate::{consensus, control, fleet, hub, ids, rollout, roster, state, view};

/// Side effects of the control thread.
///
/// No method blocks; network traffic runs on other threads.
pub trait Outlet: Send {
    /// Sends a message to another replica, without any guarantee of delivery.
    fn send_envelope(&self, address: net::SocketAddr, envelope: consensus::Envelope);

    /// Sends a lease renewal to a control VM and reports [`crate::control::Event::RenewalEnded`].
    fn send_renewal(
        &self,
        node: ids::NodeId,
        address: net::SocketAddr,
        request: roster::RenewRequest,
    );

    /// Publishes a view to the traffic threads.
    fn publish_view(&self, view: view::View);

    /// Closes the connections to these backend servers and reports
    /// [`crate::control::Event::ConnectionsClosed`] for each once none is left.
    fn release_servers(&self, servers: Vec<ids::ServerName>);

    /// Publishes the addresses of the control VMs.
    fn publish_control_addresses(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>);

    /// Publishes the revision of the catalog in the applied log; only control VMs with a hub
    /// override this method.
    fn publish_revision(&self, _revision: ids::Revision) {}

    /// Sends a batch to another hub and reports [`crate::control::HubEvent::ExchangeEnded`].
    ///
    /// Only control VMs with a hub override this method and the next four.
    fn send_batch(&self, _peer: net::SocketAddr, _batch: hub::Batch) {}

    /// Sends an idempotent command to a control VM and reports
    /// [`crate::control::HubEvent::JoinEnded`].
    fn send_idempotent(&self, _peer: net::SocketAddr, _command: state::IdempotentCommand) {}

    /// Sends a command that records departures to a control VM and reports
    /// [`crate::control::HubEvent::RecordEnded`].
    fn send_departures(&self, _peer: net::SocketAddr, _command: state::IdempotentCommand) {}

    /// Sends a command that advances a rollout to a control VM and reports
    /// [`crate::control::HubEvent::AdvanceEnded`].
    fn send_advance(&self, _peer: net::SocketAddr, _command: state::IdempotentCommand) {}

    /// Publishes the entry VMs whose addresses callers may get.
    fn publish_addresses(&self, _book: hub::AddressBook) {}

    /// Polls a control VM and reports [`crate::control::Event::PollEnded`].
    ///
    /// Only entry VMs that follow a hub override this method and the next four.
    fn send_poll(&self, _hub: net::SocketAddr, _request: hub::FollowRequest) {}

    /// Sends observations about backend servers to a control VM, without any guarantee of
    /// delivery.
    fn report_observations(&self, _hub: net::SocketAddr, _reports: Vec<hub::Observation>) {}

    /// Sends counts of rollouts to a control VM, without any guarantee of delivery.
    fn report_counts(&self, _hub: net::SocketAddr, _reports: Vec<rollout::Report>) {}

    /// Publishes the view of a follower to the traffic threads.
    fn publish_fleet(&self, _view: fleet::View) {}

    /// Publishes the listeners of the control VMs, in the order in which they are asked for
    /// tokens, to the traffic threads.
    fn publish_hubs(&self, _hubs: Vec<net::SocketAddr>) {}

    /// Backend servers that the traffic threads do not use until their next heartbeat.
    fn suspended_servers(&self) -> Vec<ids::ServerName> {
        Vec::new()
    }

    /// Clock, timer and random numbers.
    fn environment(&self) -> &dyn control::Environment;
}

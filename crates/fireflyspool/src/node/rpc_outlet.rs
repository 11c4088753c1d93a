//! Side effects of the control thread: calls to other processes and published state.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use tokio::sync::mpsc;

use crate::{consensus, control, fleet, hub, ids, node, rim, rollout, roster, sorted, state, view};

/// Timeout of a call to another control VM; a lost connection is noticed after it.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Timeout of a poll: the time for which the hub holds it, and a round trip.
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Connects the control thread to the network, the timer and the traffic threads.
pub struct RpcOutlet {
    process: sync::Arc<node::Process>,
    runtime: tokio::runtime::Handle,
    /// Listener of this process; unused on entry VMs, which have no replica.
    own_listener: net::SocketAddr,
    links: sync::Mutex<sorted::SortedMap<net::SocketAddr, mpsc::Sender<consensus::Envelope>>>,
    environment: rim::ProcessEnvironment,
}

impl RpcOutlet {
    /// Creates an outlet whose calls run on `runtime`.
    pub fn new(
        process: sync::Arc<node::Process>,
        runtime: tokio::runtime::Handle,
        own_listener: net::SocketAddr,
    ) -> Self {
        let environment =
            rim::ProcessEnvironment::new(process.timer.clone(), process.mailbox.clone());
        Self {
            process,
            runtime,
            own_listener,
            links: sync::Mutex::default(),
            environment,
        }
    }

    /// Calls another process and sends the result to the control thread as an event.
    fn call<P, R>(
        &self,
        listener: net::SocketAddr,
        method: rim::Method,
        parameter: P,
        timeout: time::Duration,
        event: impl FnOnce(Option<R>) -> control::Event + Send + 'static,
    ) where
        P: serde::Serialize + Send + Sync + 'static,
        R: serde::de::DeserializeOwned + Send + 'static,
    {
        let process = sync::Arc::clone(&self.process);
        self.runtime.spawn(async move {
            let peer = process.peer(listener);
            let reply = peer.call(method, &parameter, timeout).await;
            if let Err(error) = &reply {
                slog::debug!(process.logger, "call failed";
                    "method" => method.name(), "peer" => %listener, "error" => %error);
            }
            process.send_event(event(reply.ok()));
        });
    }
}

impl control::Outlet for RpcOutlet {
    fn send_envelope(&self, address: net::SocketAddr, envelope: consensus::Envelope) {
        // Only the control thread locks this; the mutex makes the outlet `Sync`.
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let link = links.get_or_insert_with(address, || {
            let from = self.own_listener;
            let wrap = move |envelopes| node::ReplicaBatch { from, envelopes };
            let peer = self.process.peer(address);
            rim::replica_link(&self.runtime, peer, CALL_TIMEOUT, wrap)
        });
        // A message is lost if the queue is full; the consensus protocol sends it again.
        let _ = link.try_send(envelope);
    }

    fn send_renewal(
        &self,
        _node: ids::NodeId,
        _address: net::SocketAddr,
        _request: roster::RenewRequest,
    ) {
        // Entry VMs here follow hubs and hold no lease.
    }

    fn publish_view(&self, _view: view::View) {
        // Without a lease there is nothing to publish or release; see `send_renewal`.
    }

    fn release_servers(&self, _servers: Vec<ids::ServerName>) {
        // Without a lease there is nothing to publish or release; see `send_renewal`.
    }

    fn publish_control_addresses(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>) {
        self.process.control_group.store(sync::Arc::new(addresses));
    }

    fn publish_revision(&self, revision: ids::Revision) {
        let published = &self.process.catalog_revision;
        published.store(revision, atomic::Ordering::Relaxed);
    }

    fn send_batch(&self, peer: net::SocketAddr, batch: hub::Batch) {
        let event = move |ack| control::Event::Hub(control::HubEvent::ExchangeEnded { peer, ack });
        self.call(peer, rim::Method::Exchange, batch, CALL_TIMEOUT, event);
    }

    fn send_idempotent(&self, peer: net::SocketAddr, command: state::IdempotentCommand) {
        let event = |reply| control::Event::Hub(control::HubEvent::JoinEnded(reply));
        self.call(peer, rim::Method::Idempotent, command, CALL_TIMEOUT, event);
    }

    fn send_departures(&self, peer: net::SocketAddr, command: state::IdempotentCommand) {
        let event = |reply| control::Event::Hub(control::HubEvent::RecordEnded(reply));
        self.call(peer, rim::Method::Idempotent, command, CALL_TIMEOUT, event);
    }

    fn send_advance(&self, peer: net::SocketAddr, command: state::IdempotentCommand) {
        let event = |reply| control::Event::Hub(control::HubEvent::AdvanceEnded(reply));
        self.call(peer, rim::Method::Idempotent, command, CALL_TIMEOUT, event);
    }

    fn publish_addresses(&self, book: hub::AddressBook) {
        self.process.addresses.store(sync::Arc::new(book));
    }

    fn send_poll(&self, hub: net::SocketAddr, request: hub::FollowRequest) {
        let event = |reply: Option<Box<hub::FollowReply>>| control::Event::PollEnded(reply);
        self.call(hub, rim::Method::Follow, request, POLL_TIMEOUT, event);
    }

    fn report_observations(&self, hub: net::SocketAddr, observations: Vec<hub::Observation>) {
        let process = sync::Arc::clone(&self.process);
        self.runtime.spawn(async move {
            let peer = process.peer(hub);
            let called = peer.call::<_, ()>(rim::Method::Observe, &observations, CALL_TIMEOUT);
            if let Err(error) = called.await {
                slog::debug!(process.logger, "observations not reported"; "error" => %error);
            }
        });
    }

    fn report_counts(&self, hub: net::SocketAddr, reports: Vec<rollout::Report>) {
        let process = sync::Arc::clone(&self.process);
        self.runtime.spawn(async move {
            let peer = process.peer(hub);
            let called = peer.call::<_, ()>(rim::Method::Count, &reports, CALL_TIMEOUT);
            if let Err(error) = called.await {
                slog::debug!(process.logger, "counts not reported"; "error" => %error);
            }
        });
    }

    fn publish_fleet(&self, view: fleet::View) {
        self.process.view.store(sync::Arc::new(view));
        self.process.view_changed.notify_one();
    }

    fn publish_hubs(&self, hubs: Vec<net::SocketAddr>) {
        self.process.hubs.store(sync::Arc::new(hubs));
    }

    fn suspended_servers(&self) -> Vec<ids::ServerName> {
        self.process.suspended.load().as_ref().clone()
    }

    fn environment(&self) -> &dyn control::Environment {
        &self.environment
    }
}

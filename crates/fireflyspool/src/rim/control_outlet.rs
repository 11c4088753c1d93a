//! Side effects of the control thread.

use std::{net, sync, time};

use tokio::sync::mpsc;

use crate::{consensus, control, dispatch, ids, rim, roster, sorted, traffic, view};

/// Timeout of one call to another control VM.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Connects the control thread to the network, the timer and the traffic threads.
pub struct ControlOutlet {
    node: sync::Arc<traffic::EntryNode>,
    runtime: tokio::runtime::Handle,
    links: sync::Mutex<sorted::SortedMap<ids::NodeId, Link>>,
    environment: rim::ProcessEnvironment,
}

struct Link {
    address: net::SocketAddr,
    sender: mpsc::Sender<consensus::Envelope>,
}

impl ControlOutlet {
    /// Creates an outlet whose calls run on `runtime`.
    pub fn new(node: sync::Arc<traffic::EntryNode>, runtime: tokio::runtime::Handle) -> Self {
        let shared = node.shared();
        let environment =
            rim::ProcessEnvironment::new(shared.timer.clone(), shared.mailbox.clone());
        Self {
            node,
            runtime,
            links: sync::Mutex::default(),
            environment,
        }
    }

    fn start_link(&self, node: ids::NodeId, address: net::SocketAddr) -> Link {
        let peer = self.node.peers().get(node, address);
        let sender = rim::replica_link(&self.runtime, peer, CALL_TIMEOUT, |envelopes| envelopes);
        Link { address, sender }
    }
}

impl control::Outlet for ControlOutlet {
    fn send_envelope(&self, address: net::SocketAddr, envelope: consensus::Envelope) {
        // Never contended: only the control thread locks it. `Sync` requires a lock.
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let to = envelope.to;
        let is_stale = links.get(&to).is_none_or(|link| link.address != address);
        if is_stale {
            links.insert(to, self.start_link(to, address));
        }
        if let Some(link) = links.get(&to) {
            // The replicated log sends dropped messages again.
            let _ = link.sender.try_send(envelope);
        }
    }

    fn send_renewal(
        &self,
        node: ids::NodeId,
        address: net::SocketAddr,
        request: roster::RenewRequest,
    ) {
        let peer = self.node.peers().get(node, address);
        let shared = sync::Arc::clone(self.node.shared());
        let sent = time::Instant::now();
        self.runtime.spawn(async move {
            let called = peer.call(rim::Method::Renew, &request, CALL_TIMEOUT).await;
            let reply = called.ok().map(Box::new);
            shared.tell_control(control::Event::RenewalEnded { sent, reply });
        });
    }

    fn publish_view(&self, view: view::View) {
        let owned = |record: &&view::ServerRecord| record.owner == Some(view.node);
        let mut services: Vec<_> = view
            .servers
            .values()
            .filter(owned)
            .map(|record| record.announcement.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        self.node.shared().budgets().apply_view(&view);
        self.node.shared().view.store(sync::Arc::new(view));
        // `get` starts the task of a service, which preconnects to the backend
        // servers that this VM owns and releases them.
        let _runtime = self.runtime.enter();
        for service in services {
            self.node.services().get(&service);
        }
        self.node
            .services()
            .broadcast(&dispatch::Event::ViewChanged);
    }

    fn release_servers(&self, servers: Vec<ids::ServerName>) {
        if servers.is_empty() {
            return;
        }
        let node = sync::Arc::clone(&self.node);
        self.runtime
            .spawn(async move { node.release_unknown(servers).await });
    }

    fn publish_control_addresses(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>) {
        self.node.shared().set_control_addresses(addresses);
    }

    fn environment(&self) -> &dyn control::Environment {
        &self.environment
    }
}

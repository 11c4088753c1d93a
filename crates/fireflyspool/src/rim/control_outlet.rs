//! Side effects of the control thread.

use std::{net, sync, time};

use tokio::sync::mpsc;

use crate::{consensus, control, dispatch, ids, rim, roster, sorted, timer, traffic, view};

/// Messages to one replica that may wait; more are dropped and sent again by
/// the replicated log itself.
const LINK_CAPACITY: usize = 256;

/// Messages that travel in one call.
const LINK_BATCH: usize = 64;

/// Time for one call to another control VM.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Connects the control thread to the network, the timer and the traffic threads.
pub struct ControlOutlet {
    node: sync::Arc<traffic::EntryNode>,
    runtime: tokio::runtime::Handle,
    links: sync::Mutex<sorted::SortedMap<ids::NodeId, Link>>,
    wake: sync::Mutex<Option<timer::TimerToken>>,
}

struct Link {
    address: net::SocketAddr,
    sender: mpsc::Sender<consensus::Envelope>,
}

impl ControlOutlet {
    /// An outlet whose calls run on that runtime.
    pub fn new(node: sync::Arc<traffic::EntryNode>, runtime: tokio::runtime::Handle) -> Self {
        Self {
            node,
            runtime,
            links: sync::Mutex::default(),
            wake: sync::Mutex::default(),
        }
    }

    fn start_link(&self, node: ids::NodeId, address: net::SocketAddr) -> Link {
        let (sender, receiver) = mpsc::channel(LINK_CAPACITY);
        let peer = self.node.peers().get(node, address);
        self.runtime.spawn(run_link(peer, receiver));
        Link { address, sender }
    }
}

impl control::Outlet for ControlOutlet {
    fn send(&self, address: net::SocketAddr, envelope: consensus::Envelope) {
        // Only the control thread locks this; the lock is there for `Sync`.
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let to = envelope.to;
        let stale = links.get(&to).is_none_or(|link| link.address != address);
        if stale {
            links.insert(to, self.start_link(to, address));
        }
        if let Some(link) = links.get(&to) {
            // The replicated log repeats what is lost.
            let _ = link.sender.try_send(envelope);
        }
    }

    fn renew(&self, node: ids::NodeId, address: net::SocketAddr, request: roster::RenewRequest) {
        let peer = self.node.peers().get(node, address);
        let shared = sync::Arc::clone(self.node.shared());
        let sent = time::Instant::now();
        self.runtime.spawn(async move {
            let called = peer.call(rim::Method::Renew, &request, CALL_TIMEOUT).await;
            let reply = called.ok().map(Box::new);
            shared.tell_control(control::Event::RenewalEnded { sent, reply });
        });
    }

    fn publish(&self, view: view::View) {
        let owned = |record: &&view::ServerRecord| record.owner == Some(view.node);
        let mut services: Vec<_> = view
            .servers
            .values()
            .filter(owned)
            .map(|record| record.announcement.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        self.node.shared().budgets().follow(&view);
        self.node.shared().view.store(sync::Arc::new(view));
        // A service whose backend servers this VM owns needs its task, which
        // opens connections ahead of need and gives servers up.
        let _runtime = self.runtime.enter();
        for service in services {
            self.node.services().get(&service);
        }
        self.node
            .services()
            .broadcast(&dispatch::Event::ViewChanged);
    }

    fn give_up(&self, servers: Vec<ids::ServerName>) {
        if servers.is_empty() {
            return;
        }
        let node = sync::Arc::clone(&self.node);
        self.runtime
            .spawn(async move { node.give_up(servers).await });
    }

    fn publish_control(&self, addresses: Vec<(ids::NodeId, net::SocketAddr)>) {
        self.node.shared().set_control_addresses(addresses);
    }

    fn wake_at(&self, at: time::Instant) {
        let timer = &self.node.shared().timer;
        let mut wake = self
            .wake
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(token) = wake.take() {
            timer.cancel(token);
        }
        let mailbox = self.node.shared().mailbox.clone();
        *wake = Some(timer.subscribe(at, move || {
            // A full queue wakes the control thread by itself.
            let _ = mailbox.send(control::Event::Timer);
        }));
    }

    fn entropy(&self) -> u64 {
        rand::random()
    }

    fn wall_clock(&self) -> u64 {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX)
    }
}

async fn run_link(peer: sync::Arc<rim::Peer>, mut receiver: mpsc::Receiver<consensus::Envelope>) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, LINK_BATCH).await > 0 {
        // A lost batch is sent again by the replicated log.
        let _ = peer
            .call::<_, ()>(rim::Method::Consensus, &batch, CALL_TIMEOUT)
            .await;
        batch.clear();
    }
}

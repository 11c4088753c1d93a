//! State and handles shared by the threads of one process.

use std::{
    io, net,
    sync::{self, atomic, mpsc},
};

use crate::node::node_id;
use crate::{control, fleet, hub, ids, rim, timer};

/// Handles of the process's services, and the state that its control thread publishes.
pub struct Process {
    /// Logger of the process.
    pub logger: slog::Logger,
    /// Wakes tasks and the control thread.
    pub timer: timer::TimerService,
    /// Queue of the control thread.
    pub mailbox: control::Mailbox,
    /// Connections to other processes.
    pub peers: rim::Peers,
    /// Random number drawn at the start of this process.
    pub incarnation: ids::Incarnation,
    /// Node ids and listeners of the control group's members, as this VM knows them.
    pub control_group: arc_swap::ArcSwap<Vec<(ids::NodeId, net::SocketAddr)>>,
    /// Revision of the catalog in the applied log; 0 on entry VMs.
    pub catalog_revision: atomic::AtomicU64,
    /// Entry VMs to return to callers; empty on entry VMs.
    pub addresses: arc_swap::ArcSwap<hub::AddressBook>,
    /// Configuration and backend servers; empty on control VMs.
    pub view: arc_swap::ArcSwap<fleet::View>,
    /// Notified when `view` has changed.
    pub view_changed: tokio::sync::Notify,
    /// Listeners of the control VMs in the order in which this VM asks them for tokens; empty
    /// on control VMs.
    pub hubs: arc_swap::ArcSwap<Vec<net::SocketAddr>>,
    /// Backend servers that the traffic threads do not use until their next heartbeat.
    pub suspended: arc_swap::ArcSwap<Vec<ids::ServerName>>,
}

impl Process {
    /// Starts the timer; returns the shared state and the queue of the control thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no thread can be started.
    pub fn start(
        logger: slog::Logger,
    ) -> io::Result<(sync::Arc<Self>, mpsc::Receiver<control::Event>)> {
        let timer = timer::TimerService::start()?;
        let (mailbox, receiver) = control::Mailbox::new();
        let process = Self {
            logger,
            timer,
            mailbox,
            peers: rim::Peers::new(None),
            // 53 bits, which a JSON number holds exactly in any parser.
            incarnation: rand::random::<u64>() >> 11,
            control_group: arc_swap::ArcSwap::default(),
            catalog_revision: atomic::AtomicU64::new(0),
            addresses: arc_swap::ArcSwap::default(),
            view: arc_swap::ArcSwap::default(),
            view_changed: tokio::sync::Notify::new(),
            hubs: arc_swap::ArcSwap::default(),
            suspended: arc_swap::ArcSwap::default(),
        };
        Ok((sync::Arc::new(process), receiver))
    }

    /// Sends an event to the control thread; drops it if the queue is full.
    pub fn send_event(&self, event: control::Event) {
        if self.mailbox.send(event).is_err() {
            // The reply channel is dropped with the event, so the sender tries again.
            slog::warn!(
                self.logger,
                "event dropped: the control thread's queue is full or the thread has ended"
            );
        }
    }

    /// Handle for a call to another process.
    pub fn peer(&self, listener: net::SocketAddr) -> sync::Arc<rim::Peer> {
        self.peers.get(node_id::encode(listener, 0), listener)
    }
}

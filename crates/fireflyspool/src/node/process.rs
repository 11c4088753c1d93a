//! What all parts of one process share.

use std::{net, sync};

use crate::node::numbering;
use crate::{control, fleet, hub, ids, rim, timer};

/// Published state and handles of one process.
pub struct Process {
    /// Logger.
    pub logger: slog::Logger,
    /// Timer service.
    pub timer: timer::TimerService,
    /// Queue of the control thread.
    pub mailbox: control::Mailbox,
    /// Connections to other processes.
    pub peers: rim::Peers,
    /// Random number of this process.
    pub incarnation: ids::Incarnation,
    /// Members of the control group, as this VM knows them.
    pub group: arc_swap::ArcSwap<Vec<(ids::NodeId, net::SocketAddr)>>,
    /// Addresses for callers, on control VMs.
    pub addresses: arc_swap::ArcSwap<hub::AddressBook>,
    /// Configuration and backend servers, on entry VMs.
    pub view: arc_swap::ArcSwap<fleet::View>,
    /// Backend servers that the traffic threads do not use until they are heard again.
    pub suspended: arc_swap::ArcSwap<Vec<ids::ServerName>>,
}

impl Process {
    /// Shared state of a process that starts.
    pub fn new(
        logger: slog::Logger,
        timer: timer::TimerService,
        mailbox: control::Mailbox,
        incarnation: ids::Incarnation,
    ) -> Self {
        Self {
            logger,
            timer,
            mailbox,
            peers: rim::Peers::new(None),
            incarnation,
            group: arc_swap::ArcSwap::default(),
            addresses: arc_swap::ArcSwap::default(),
            view: arc_swap::ArcSwap::default(),
            suspended: arc_swap::ArcSwap::default(),
        }
    }

    /// Sends an event to the control thread.
    pub fn tell(&self, event: control::Event) {
        if self.mailbox.send(event).is_err() {
            // The asker's answer is dropped with the event, so it tries again.
            slog::warn!(self.logger, "the control thread's queue is full");
        }
    }

    /// Handle for a call to another process.
    pub fn peer(&self, listener: net::SocketAddr) -> sync::Arc<rim::Peer> {
        self.peers.get(numbering::number_of(listener, 0), listener)
    }
}

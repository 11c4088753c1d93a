//! What all parts of one process share.

use std::{
    io, net,
    sync::{self, mpsc},
};

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
            // 53 bits, which every JSON reader keeps exactly.
            incarnation: rand::random::<u64>() >> 11,
            group: arc_swap::ArcSwap::default(),
            addresses: arc_swap::ArcSwap::default(),
            view: arc_swap::ArcSwap::default(),
            suspended: arc_swap::ArcSwap::default(),
        };
        Ok((sync::Arc::new(process), receiver))
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

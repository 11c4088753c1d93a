//! What all tasks of a run share.

use std::{collections, net, sync::atomic};

use super::{ledger::Ledger, relay::Relay};
use crate::platform_site::Site;

/// Addresses, relays and promises of one run.
pub(crate) struct Stage {
    pub(crate) site: Site,
    pub(crate) ledger: Ledger,
    /// Relays before the entry VMs, by the address that control VMs name.
    pub(crate) entries: collections::BTreeMap<net::SocketAddr, Relay>,
    /// Relays before the control VMs, for the operator and heartbeats.
    pub(crate) controls: Vec<Relay>,
    pub(crate) stopped: atomic::AtomicBool,
}

impl Stage {
    pub(crate) fn new(
        site: Site,
        entries: collections::BTreeMap<net::SocketAddr, Relay>,
        controls: Vec<Relay>,
    ) -> Self {
        Self {
            site,
            ledger: Ledger::default(),
            entries,
            controls,
            stopped: atomic::AtomicBool::new(false),
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
    }

    /// A client that gives up before the bounds of acknowledgements.
    pub(crate) fn client() -> reqwest::Client {
        reqwest::Client::builder()
            .no_proxy()
            .timeout(std::time::Duration::from_millis(1_500))
            .build()
            .expect("a client")
    }
}

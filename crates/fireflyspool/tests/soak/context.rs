//! State that all tasks of a run share.

use std::{collections, net, sync::atomic};

use super::{checker::Checker, random::Random, relay::Relay};
use crate::platform_site::Site;

/// Site, relays and checker of one run.
pub(crate) struct Context {
    pub(crate) site: Site,
    pub(crate) checker: Checker,
    /// Relays in front of the entry VMs, by the address that control VMs resolve to.
    pub(crate) entries: collections::BTreeMap<net::SocketAddr, Relay>,
    /// Relays in front of the control VMs, for the operator and heartbeats.
    pub(crate) controls: Vec<Relay>,
    pub(crate) stopped: atomic::AtomicBool,
}

impl Context {
    pub(crate) fn new(
        site: Site,
        entries: collections::BTreeMap<net::SocketAddr, Relay>,
        controls: Vec<Relay>,
    ) -> Self {
        Self {
            site,
            checker: Checker::default(),
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

    /// Entry VM whose relay has this address.
    pub(crate) fn entry_of(&self, relay: &str) -> Option<net::SocketAddr> {
        let mut entries = self.entries.iter();
        let found = entries.find(|(_, entry)| entry.address().to_string() == relay);
        found.map(|(entry, _)| *entry)
    }

    /// Address of the relay of a randomly drawn control VM.
    pub(crate) fn any_control(&self, random: &mut Random) -> net::SocketAddr {
        self.controls[random.index(self.controls.len())].address()
    }

    /// Sends an operator's order once; returns the status, or `None` without an answer.
    pub(crate) async fn order(
        http: &reqwest::Client,
        control: net::SocketAddr,
        path: &str,
        body: String,
    ) -> Option<reqwest::StatusCode> {
        let url = format!("http://{control}/fireflyspool/{path}");
        let answer = http.post(url).body(body).send().await;
        answer.ok().map(|answer| answer.status())
    }

    /// Client whose timeout is shorter than the limits for acknowledgements.
    pub(crate) fn client() -> reqwest::Client {
        reqwest::Client::builder()
            .no_proxy()
            .timeout(std::time::Duration::from_millis(1_500))
            .build()
            .expect("a client")
    }
}

//! State of the process that its listeners use.

use std::{
    sync::{self, atomic},
    time,
};

use crate::{directory, ids, plan, rim, settings, shutdown, traffic, view};

/// State that the listeners and tasks of one process share.
pub struct EntryNode {
    pub(super) shared: sync::Arc<traffic::Shared>,
    pub(super) key: settings::SharedKey,
    pub(super) peers: sync::Arc<rim::Peers>,
    pub(super) services: traffic::ServiceTable,
    pub(super) control: traffic::ControlClient,
    pub(super) admission: traffic::AdmissionSender,
    pub(super) drain: arc_swap::ArcSwap<shutdown::AnyDrain>,
    pub(super) reads: traffic::SharedReads,
    pub(super) routes: sync::Mutex<plan::RouteCache>,
    pub(super) running: sync::Arc<atomic::AtomicUsize>,
    pub(super) ticket: atomic::AtomicU64,
}

impl EntryNode {
    /// Creates the state and starts the admission task; must be called within the runtime.
    pub fn new(shared: sync::Arc<traffic::Shared>, key: settings::SharedKey) -> Self {
        let peers = sync::Arc::new(rim::Peers::new(Some(key.clone())));
        Self {
            services: traffic::ServiceTable::new(sync::Arc::clone(&shared)),
            control: traffic::ControlClient::new(
                sync::Arc::clone(&shared),
                sync::Arc::clone(&peers),
            ),
            admission: traffic::AdmissionTask::start(sync::Arc::clone(&shared)),
            drain: arc_swap::ArcSwap::default(),
            reads: traffic::SharedReads::default(),
            routes: sync::Mutex::default(),
            running: sync::Arc::default(),
            ticket: atomic::AtomicU64::new(1),
            shared,
            key,
            peers,
        }
    }

    /// Handles that all tasks share.
    pub fn shared(&self) -> &sync::Arc<traffic::Shared> {
        &self.shared
    }

    /// Settings of this process.
    pub fn settings(&self) -> &settings::Settings {
        &self.shared.settings
    }

    /// Key of the site.
    pub fn key(&self) -> &settings::SharedKey {
        &self.key
    }

    /// Connections to other processes.
    pub fn peers(&self) -> &sync::Arc<rim::Peers> {
        &self.peers
    }

    /// Tasks of the services.
    pub fn services(&self) -> &traffic::ServiceTable {
        &self.services
    }

    /// Calls to the leader.
    pub fn control(&self) -> &traffic::ControlClient {
        &self.control
    }

    /// Queue of the admission task.
    pub fn admission(&self) -> &traffic::AdmissionSender {
        &self.admission
    }

    /// Table of the reads in flight.
    pub fn reads(&self) -> &traffic::SharedReads {
        &self.reads
    }

    /// Plans a search against the latest view.
    ///
    /// # Errors
    ///
    /// Returns the [`plan::PlanError`] of the planner.
    pub fn plan(&self, search: &plan::Search) -> Result<plan::Plan, plan::PlanError> {
        let view = self.shared.view.load();
        let now = time::Instant::now();
        let mut routes = self
            .routes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        routes.plan(search, &view, now, self.shared.entropy())
    }

    /// Returns a new ticket, unique within this process.
    pub fn next_ticket(&self) -> ids::Ticket {
        self.ticket.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Number of running caller requests.
    pub fn running(&self) -> usize {
        self.running.load(atomic::Ordering::SeqCst)
    }

    /// Phase of the shutdown.
    pub fn drain(&self) -> shutdown::AnyDrain {
        **self.drain.load()
    }

    /// Sets the phase of the shutdown.
    pub fn set_drain(&self, drain: shutdown::AnyDrain) {
        self.drain.store(sync::Arc::new(drain));
    }

    /// Addresses that a caller of a service should use.
    pub fn addresses(&self, service: &str, caller: Option<&str>) -> directory::AddressList {
        let view = self.shared.view.load();
        directory::entry_addresses(service, &caller_name(caller), &view)
    }

    /// Whether this process can serve callers.
    ///
    /// # Errors
    ///
    /// Returns the reason why it cannot.
    pub fn readiness(&self) -> Result<(), &'static str> {
        let view = self.shared.view.load();
        if !self.drain().accepts() {
            return Err("draining");
        }
        if !self.settings().has(settings::Role::Entry) {
            return Err("no entry role");
        }
        if !view.may_act(time::Instant::now()) {
            return Err("no lease");
        }
        let owned =
            |record: &view::ServerRecord| record.owner.is_some() && view.is_eligible(record);
        if !view.catalog.collections.is_empty() && !view.servers.values().any(owned) {
            return Err("no backend server can be reached");
        }
        Ok(())
    }
}

pub(super) fn caller_name(caller: Option<&str>) -> String {
    // Callers without a name get random names, which spreads them over the entry VMs.
    caller.map_or_else(|| rand::random::<u64>().to_string(), str::to_owned)
}

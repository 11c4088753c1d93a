//! A control VM.

use std::{net, sync, time};

use jsonrpsee::server;
use tokio::sync::oneshot;

use crate::node::numbering;
use crate::{consensus, control, hub, ids, node, registry, rim, roster, sorted, state, storage};

/// Time for an order; its sender tries another VM after a second.
const ORDER_LIMIT: time::Duration = time::Duration::from_millis(930);

/// Pause before the leader is looked for again during an election.
const ORDER_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Interval of the leader's heartbeats to the other replicas.
const LEADER_HEARTBEAT: time::Duration = time::Duration::from_millis(100);

/// Shortest and longest election timeout; several heartbeats, and far below
/// the time in which an order must be acknowledged.
const ELECTION: (time::Duration, time::Duration) = (
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
);

/// Handle of a control VM for its front ends.
pub struct Control {
    process: sync::Arc<node::Process>,
    /// Keeps the listener for other processes open.
    listener: sync::OnceLock<server::ServerHandle>,
}

impl Control {
    /// Starts the control thread and the listener for other processes.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address cannot be bound or no thread can be started.
    pub async fn start(
        settings: node::ControlSettings,
        logger: slog::Logger,
    ) -> anyhow::Result<sync::Arc<Self>> {
        let (process, receiver) = node::Process::start(logger.clone())?;
        let incarnation = process.incarnation;
        let outlet = node::MeshOutlet::new(
            sync::Arc::clone(&process),
            tokio::runtime::Handle::current(),
            settings.rpc,
        );
        let own = hub::HubInfo {
            rpc: settings.rpc,
            control: settings.control,
            zone: settings.zone.clone(),
            incarnation,
        };
        let config = hub::Config::new(settings.heartbeat);
        let now = time::Instant::now();
        let contacts = settings.contacts.clone();
        let hub = control::HubDriver::new(own, config, contacts, logger.clone(), now);
        let node = sync::Arc::new(Self {
            process,
            listener: sync::OnceLock::new(),
        });
        let listener = node::mesh_listener(settings.rpc, sync::Arc::clone(&node)).await?;
        node.listener.get_or_init(|| listener);
        let opener = opener(settings, logger.clone());
        control::ControlThread::new(outlet, receiver, None, None, Vec::new(), logger)
            .with_hub(hub, opener)
            .start(drop)?;
        Ok(node)
    }

    /// What the parts of this process share.
    pub fn process(&self) -> &node::Process {
        &self.process
    }

    /// Takes the report of a backend server; `None` if too few control VMs hold it.
    pub async fn report(&self, report: registry::Report) -> Option<node::Acknowledgement> {
        let report = Box::new(report);
        let make = |reply| control::HubEvent::Report { report, reply };
        self.ask(make).await
    }

    /// Takes the departure of a backend server; `None` if too few control VMs hold it.
    pub async fn depart(
        &self,
        server: ids::ServerName,
        born: Option<ids::BornMillis>,
    ) -> Option<node::Acknowledgement> {
        let make = |reply| control::HubEvent::Deregister {
            server,
            born,
            reply,
        };
        self.ask(make).await
    }

    /// Addresses for a caller; empty if none is known yet.
    pub fn addresses(&self, query: &hub::AddressQuery) -> Vec<net::SocketAddr> {
        self.process.addresses.load().answer(query)
    }

    /// Passes an order to the leader, wherever it is.
    pub async fn order(&self, order: state::IdempotentCommand) -> node::OrderEnd {
        let deadline = time::Instant::now() + ORDER_LIMIT;
        loop {
            let reply = self.try_order(&order, deadline).await;
            if let Some(control::OrderReply::Done { outcome }) = reply {
                return node::OrderEnd::Done(outcome);
            }
            let unknown_leader = matches!(reply, Some(control::OrderReply::NotLeader { .. }));
            if !unknown_leader || time::Instant::now() + ORDER_PAUSE >= deadline {
                return node::OrderEnd::Open;
            }
            self.process.timer.sleep(ORDER_PAUSE).await;
        }
    }

    /// Decides an order if this VM leads.
    pub async fn decide_here(
        &self,
        order: state::IdempotentCommand,
    ) -> Option<control::OrderReply> {
        let (reply, receiver) = oneshot::channel();
        self.process.tell(control::Event::Order { order, reply });
        receiver.await.ok()
    }

    async fn try_order(
        &self,
        order: &state::IdempotentCommand,
        deadline: time::Instant,
    ) -> Option<control::OrderReply> {
        let left = deadline.saturating_duration_since(time::Instant::now());
        let here = self.decide_here(order.clone());
        let here = tokio::time::timeout(left, here).await.ok()??;
        let control::OrderReply::NotLeader {
            leader: Some(leader),
        } = here
        else {
            return Some(here);
        };
        let group = self.process.group.load();
        let found = group.iter().find(|(node, _)| *node == leader);
        let Some((_, listener)) = found else {
            return Some(here);
        };
        let left = deadline.saturating_duration_since(time::Instant::now());
        let peer = self.process.peer(*listener);
        match peer.call(rim::Method::Order, order, left).await {
            Ok(reply) => Some(reply),
            Err(error) if error.may_have_arrived() => None,
            Err(_) => Some(here),
        }
    }

    async fn ask(
        &self,
        make: impl FnOnce(oneshot::Sender<net::SocketAddr>) -> control::HubEvent,
    ) -> Option<node::Acknowledgement> {
        let (sender, receiver) = oneshot::channel();
        self.process.tell(control::Event::Hub(make(sender)));
        let address = receiver.await.ok()?;
        Some(node::Acknowledgement { address })
    }
}

/// Opens the data folder, which is made first if it is empty.
fn opener(settings: node::ControlSettings, logger: slog::Logger) -> control::VoterOpener {
    Box::new(move |fresh, outlet, now| open(&settings, fresh, &logger, outlet, now))
}

fn open(
    settings: &node::ControlSettings,
    fresh: bool,
    logger: &slog::Logger,
    outlet: &dyn control::Outlet,
    now: time::Instant,
) -> Result<control::Voter, control::ControlError> {
    if fresh {
        storage::DataFolder::clear(&settings.data)?;
    }
    if !storage::DataFolder::is_initialized(&settings.data)? {
        let founds = settings.founding && !fresh && settings.contacts.contains(&settings.rpc);
        let identity = storage::Identity {
            site: settings.site.clone(),
            node: match founds {
                true => numbering::number_of(settings.rpc, 0),
                false => numbering::number_of(settings.rpc, rand::random_range(1..=u16::MAX)),
            },
            incarnation: rand::random::<u64>() >> 11,
            joining: !founds,
        };
        storage::DataFolder::clear(&settings.data)?;
        storage::DataFolder::init(&settings.data, &identity)?;
        slog::info!(logger, "data folder initialized";
            "node" => identity.node, "joining" => identity.joining);
    }
    let node = storage::DataFolder::identity_of(&settings.data)?.node;
    let opened = storage::DataFolder::open(&settings.data, &settings.site, node)?;
    let identity = opened.0.identity();
    let contacts = settings.contacts.iter();
    let founding: sorted::SortedMap<_, _> = match identity.joining {
        true => sorted::SortedMap::new(),
        false => contacts
            .map(|rpc| (numbering::number_of(*rpc, 0), *rpc))
            .collect(),
    };
    let members = founding.keys().copied().collect();
    let config = consensus::Config {
        heartbeat: LEADER_HEARTBEAT,
        ..consensus::Config::new(identity.node, identity.incarnation, members)
            .with_election_timeout(ELECTION.0, ELECTION.1)
    };
    let lease = roster::Config::default();
    let mut voter =
        control::Voter::new(config, opened, lease, founding, logger.clone(), outlet, now)?;
    for member in voter.members().iter() {
        voter.learn_listener(member.node, numbering::listener_of(member.node));
    }
    Ok(voter)
}

//! Process of a control VM.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use jsonrpsee::server;
use tokio::sync::oneshot;

use crate::node::node_id;
use crate::{
    configuration, consensus, control, hub, ids, node, registry, rim, rollout, roster, sorted,
    state, storage, timer,
};

/// Timeout of a command; its sender tries another VM after a second.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(930);

/// Time in which it is noticed that the sender of an order has closed its connection: the end
/// of the connection follows the order, also when both were held up on their way.
const ORDER_SETTLE: time::Duration = time::Duration::from_millis(50);

/// Pause before a command is tried again while no leader is known.
const LEADER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Interval of the leader's heartbeats to the other replicas.
const LEADER_HEARTBEAT: time::Duration = time::Duration::from_millis(100);

/// Shortest and longest election timeout: several heartbeats, and far less than
/// [`COMMAND_TIMEOUT`].
const ELECTION_TIMEOUT: (time::Duration, time::Duration) = (
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
);

/// Interface of a control VM for its front ends.
pub struct Control {
    process: sync::Arc<node::Process>,
    /// Own listener for other processes.
    rpc: net::SocketAddr,
    rollouts: rollout::Limits,
    /// Dropping the handle would close the listener for other processes.
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
        format: sync::Arc<dyn configuration::Format>,
        logger: slog::Logger,
    ) -> anyhow::Result<sync::Arc<Self>> {
        let (process, receiver) = node::Process::start(logger.clone())?;
        let incarnation = process.incarnation;
        let outlet = node::RpcOutlet::new(
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
        let hub = control::HubDriver::new(own, config, contacts, logger.clone(), now)
            .with_quotas(format, now)
            .with_rollouts(settings.rollouts);
        let node = sync::Arc::new(Self {
            process,
            rpc: settings.rpc,
            rollouts: settings.rollouts,
            listener: sync::OnceLock::new(),
        });
        let listener = node::rpc_listener(settings.rpc, sync::Arc::clone(&node)).await?;
        node.listener.get_or_init(|| listener);
        let opener = voter_opener(settings, logger.clone());
        control::ControlThread::new(outlet, receiver, None, None, Vec::new(), logger)
            .with_hub(hub, opener)
            .start(drop)?;
        Ok(node)
    }

    /// State and handles that the threads of this process share.
    pub fn process(&self) -> &node::Process {
        &self.process
    }

    /// Handles the report of a backend server; `None` if too few control VMs hold it.
    pub async fn report(&self, report: registry::Report) -> Option<node::Acknowledgement> {
        let report = Box::new(report);
        let event = |reply| control::HubEvent::Report { report, reply };
        self.ask_hub(event).await
    }

    /// Handles the departure of a backend server; `None` if too few control VMs hold it.
    pub async fn depart(
        &self,
        server: ids::ServerName,
        born: Option<ids::BornMillis>,
    ) -> Option<node::Acknowledgement> {
        let event = |reply| control::HubEvent::Deregister {
            server,
            born,
            reply,
        };
        self.ask_hub(event).await
    }

    /// Tells the control group that this VM stops, so that it is not waited for if another takes
    /// its place.
    pub async fn leave(&self) {
        let stop = control::Event::Hub(control::HubEvent::Stop);
        self.process.send_event(stop);
        let rpc = self.rpc;
        let result = self.execute(state::IdempotentCommand::Leave { rpc }).await;
        slog::info!(self.process.logger, "told the control group that this VM stops";
            "result" => ?result);
    }

    /// Entry VMs for a caller; empty if none is known yet.
    pub fn addresses(&self, query: &hub::AddressQuery) -> Vec<net::SocketAddr> {
        self.process.addresses.load().answer(query)
    }

    /// Executes a command that must have no effect once its sender has given it up.
    ///
    /// The front end drops the future when the sender closes its connection. Commands that are
    /// read from the connection only then, because this VM or its network stood still, are not
    /// executed: the sender has sent them elsewhere, and later ones may have followed.
    pub async fn order(&self, command: state::IdempotentCommand) -> node::CommandResult {
        self.process.timer.sleep(ORDER_SETTLE).await;
        self.execute(command).await
    }

    /// Starts a rollout with the share of its first stage.
    pub async fn start_rollout(
        &self,
        service: ids::ServiceName,
        target: ids::ServerVersion,
        duration: time::Duration,
    ) -> node::CommandResult {
        let [share, ..] = self.rollouts.stages();
        let start = rollout::Start {
            target,
            duration,
            share,
            stamped: rim::wall_millis(),
        };
        let command = state::IdempotentCommand::StartRollout { service, start };
        self.execute(command).await
    }

    /// Executes a command on the leader, here or on another control VM.
    pub async fn execute(&self, command: state::IdempotentCommand) -> node::CommandResult {
        let revision = self
            .process
            .catalog_revision
            .load(atomic::Ordering::Relaxed);
        let mut command = command.with_known_revision(revision);
        let started = timer::Stopwatch::start();
        let deadline = time::Instant::now() + COMMAND_TIMEOUT;
        loop {
            if started.elapsed() >= COMMAND_TIMEOUT {
                return node::CommandResult::Uncertain;
            }
            let reply = self.try_execute(&command, deadline).await;
            if let Some(control::IdempotentReply::Done { outcome }) = reply {
                if let state::IdempotentOutcome::Overtaken { revision } = outcome {
                    // Its sender still waits, so the order is newer than that change.
                    command = command.with_known_revision(revision);
                    continue;
                }
                return node::CommandResult::Applied(outcome);
            }
            let unknown_leader = matches!(reply, Some(control::IdempotentReply::NotLeader { .. }));
            if !unknown_leader || time::Instant::now() + LEADER_RETRY_PAUSE >= deadline {
                return node::CommandResult::Uncertain;
            }
            self.process.timer.sleep(LEADER_RETRY_PAUSE).await;
        }
    }

    /// Executes a command if this VM leads, otherwise returns the leader, if known.
    ///
    /// `None` if the result is uncertain.
    pub async fn execute_locally(
        &self,
        command: state::IdempotentCommand,
    ) -> Option<control::IdempotentReply> {
        let (reply, receiver) = oneshot::channel();
        self.process
            .send_event(control::Event::Idempotent { command, reply });
        receiver.await.ok()
    }

    async fn try_execute(
        &self,
        command: &state::IdempotentCommand,
        deadline: time::Instant,
    ) -> Option<control::IdempotentReply> {
        let left = deadline.saturating_duration_since(time::Instant::now());
        let local = self.execute_locally(command.clone());
        let local = tokio::time::timeout(left, local).await.ok()??;
        let control::IdempotentReply::NotLeader {
            leader: Some(leader),
            ..
        } = local
        else {
            return Some(local);
        };
        let group = self.process.control_group.load();
        let found = group.iter().find(|(node, _)| *node == leader);
        let Some((_, listener)) = found else {
            return Some(local);
        };
        let left = deadline.saturating_duration_since(time::Instant::now());
        let peer = self.process.peer(*listener);
        match peer.call(rim::Method::Idempotent, command, left).await {
            Ok(reply) => Some(reply),
            Err(error) if error.may_have_arrived() => None,
            Err(_) => Some(local),
        }
    }

    async fn ask_hub(
        &self,
        event: impl FnOnce(oneshot::Sender<net::SocketAddr>) -> control::HubEvent,
    ) -> Option<node::Acknowledgement> {
        let (sender, receiver) = oneshot::channel();
        self.process.send_event(control::Event::Hub(event(sender)));
        let address = receiver.await.ok()?;
        Some(node::Acknowledgement { address })
    }
}

/// Returns a function that opens the replica in the data folder.
fn voter_opener(settings: node::ControlSettings, logger: slog::Logger) -> control::VoterOpener {
    Box::new(move |fresh, outlet, now| open(&settings, fresh, &logger, outlet, now))
}

/// Opens the replica in the data folder, and initializes the folder first if it is empty.
///
/// `fresh` discards the old content, so that the replica joins under a new id.
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
        let is_founder = settings.founding && !fresh && settings.contacts.contains(&settings.rpc);
        let identity = storage::Identity {
            site: settings.site.clone(),
            node: match is_founder {
                true => node_id::encode(settings.rpc, 0),
                false => node_id::encode(settings.rpc, rand::random_range(1..=u16::MAX)),
            },
            incarnation: rand::random::<u64>() >> 11,
            joining: !is_founder,
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
            .map(|rpc| (node_id::encode(*rpc, 0), *rpc))
            .collect(),
    };
    let members = founding.keys().copied().collect();
    let config = consensus::Config {
        heartbeat: LEADER_HEARTBEAT,
        ..consensus::Config::new(identity.node, identity.incarnation, members)
            .with_election_timeout(ELECTION_TIMEOUT.0, ELECTION_TIMEOUT.1)
    };
    let lease = roster::Config::default();
    let mut voter =
        control::Voter::new(config, opened, lease, founding, logger.clone(), outlet, now)?;
    for member in voter.members().iter() {
        voter.learn_listener(member.node, node_id::listener(member.node));
    }
    Ok(voter)
}

//! Control VMs whose disks are full for a while, one after another.
//!
//! The control threads are those of real processes, on disks in memory; messages between them
//! arrive at once. A disk becomes full at each step of a write in turn: of an entry, a
//! snapshot, a rename, and while the data folder is made.

#[path = "simulation/mem_disk.rs"]
#[allow(dead_code, reason = "each test binary uses a part of the module")]
mod mem_disk;

use std::{net, sync, time};

use fireflyspool::{
    configuration, consensus, control, hub, ids, rim, roster, sorted, state, storage, timer,
};
use tokio::sync::oneshot;

const VMS: u16 = 3;

/// Changing operations after which a disk becomes full, one round each.
const ROUNDS: u32 = 12;

/// Time for which a disk is full; long enough for several tries to open the folder again.
const FULL_TIME: time::Duration = time::Duration::from_millis(1_300);

/// Time in which a command must be accepted once no disk is full.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(12);

/// A few documents of this size cause a snapshot, so that rounds meet each step of one.
const DOCUMENT_BYTES: usize = 3 * 1024 * 1024;

type Mailboxes = sync::Arc<sync::Mutex<Vec<(net::SocketAddr, control::Mailbox)>>>;

fn listener(vm: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], 7_000 + vm))
}

fn node(vm: u16) -> ids::NodeId {
    u64::from(vm) + 1
}

/// Delivers the messages of one control thread to the others.
struct Wire {
    own: net::SocketAddr,
    mailboxes: Mailboxes,
    runtime: tokio::runtime::Handle,
    environment: rim::ProcessEnvironment,
}

impl Wire {
    fn send(&self, to: net::SocketAddr, event: control::Event) {
        let mailboxes = self.mailboxes.lock().expect("no panic");
        if let Some((_, mailbox)) = mailboxes.iter().find(|(listener, _)| *listener == to) {
            mailbox.send(event).expect("the thread runs");
        }
    }
}

impl control::Outlet for Wire {
    fn send_envelope(&self, address: net::SocketAddr, envelope: consensus::Envelope) {
        let (from, envelopes) = (Some(self.own), vec![envelope]);
        self.send(address, control::Event::Envelopes { from, envelopes });
    }

    fn send_renewal(&self, _: ids::NodeId, _: net::SocketAddr, _: roster::RenewRequest) {}

    fn publish_view(&self, _: fireflyspool::view::View) {}

    fn release_servers(&self, _: Vec<ids::ServerName>) {}

    fn publish_control_addresses(&self, _: Vec<(ids::NodeId, net::SocketAddr)>) {}

    fn send_batch(&self, peer: net::SocketAddr, batch: hub::Batch) {
        let (reply, ack) = oneshot::channel();
        let batch = Box::new(batch);
        self.send(
            peer,
            control::Event::Hub(control::HubEvent::Batch { batch, reply }),
        );
        let (own, mailboxes) = (self.own, sync::Arc::clone(&self.mailboxes));
        self.runtime.spawn(async move {
            let ack = ack.await.ok();
            let event = control::HubEvent::ExchangeEnded { peer, ack };
            let mailboxes = mailboxes.lock().expect("no panic");
            let found = mailboxes.iter().find(|(listener, _)| *listener == own);
            if let Some((_, mailbox)) = found {
                mailbox
                    .send(control::Event::Hub(event))
                    .expect("the thread runs");
            }
        });
    }

    fn send_departures(&self, peer: net::SocketAddr, command: state::IdempotentCommand) {
        let (reply, answer) = oneshot::channel();
        self.send(peer, control::Event::Idempotent { command, reply });
        let (own, mailboxes) = (self.own, sync::Arc::clone(&self.mailboxes));
        self.runtime.spawn(async move {
            let event = control::HubEvent::RecordEnded(answer.await.ok());
            let mailboxes = mailboxes.lock().expect("no panic");
            let found = mailboxes.iter().find(|(listener, _)| *listener == own);
            if let Some((_, mailbox)) = found {
                mailbox
                    .send(control::Event::Hub(event))
                    .expect("the thread runs");
            }
        });
    }

    fn environment(&self) -> &dyn control::Environment {
        &self.environment
    }
}

/// Opens the folder on a disk, and makes it first if it was never finished.
fn open(
    disk: &mem_disk::MemDisk,
    vm: u16,
    outlet: &dyn control::Outlet,
    now: time::Instant,
) -> Result<control::Voter, control::ControlError> {
    let mut unfinished = disk.clone();
    let named = storage::Disk::read(&unfinished, "identity").expect("it can be read");
    if named.is_none() {
        unfinished.clear();
        let identity = storage::Identity {
            site: "site".to_owned(),
            node: node(vm),
            incarnation: node(vm),
            joining: false,
        };
        storage::DataFolder::init_on(&mut unfinished, &identity)?;
    }
    let opened = storage::DataFolder::open_on(Box::new(disk.clone()), "site", node(vm))?;
    let founding: sorted::SortedMap<_, _> = (0..VMS).map(|vm| (node(vm), listener(vm))).collect();
    let members = founding.keys().copied().collect();
    let config = consensus::Config::new(node(vm), node(vm), members);
    let (lease, logger) = (roster::Config::default(), discard());
    control::Voter::new(config, opened, lease, founding, logger, outlet, now)
}

fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Three control VMs in this process.
struct Group {
    disks: Vec<mem_disk::MemDisk>,
    mailboxes: Mailboxes,
    version: ids::ConfigVersion,
    /// Newest version that was accepted.
    accepted: ids::ConfigVersion,
}

impl Group {
    /// Starts the control threads; the disk of the last VM is full for the first moments.
    fn start() -> Self {
        let disks: Vec<_> = (0..VMS).map(|_| mem_disk::MemDisk::default()).collect();
        disks[usize::from(VMS) - 1].fail_after(Some(1));
        let mailboxes = Mailboxes::default();
        let contacts: Vec<_> = (0..VMS).map(listener).collect();
        for (vm, disk) in (0..VMS).zip(disks.iter().cloned()) {
            let (mailbox, receiver) = control::Mailbox::new();
            let timer = timer::TimerService::start().expect("a thread");
            let outlet = Wire {
                own: listener(vm),
                mailboxes: sync::Arc::clone(&mailboxes),
                runtime: tokio::runtime::Handle::current(),
                environment: rim::ProcessEnvironment::new(timer, mailbox.clone()),
            };
            mailboxes
                .lock()
                .expect("no panic")
                .push((listener(vm), mailbox));
            let own = hub::HubInfo {
                rpc: listener(vm),
                control: listener(vm),
                zone: "a".to_owned(),
                incarnation: node(vm),
            };
            let config = hub::Config::new(time::Duration::from_millis(300));
            let now = time::Instant::now();
            let hub = control::HubDriver::new(own, config, contacts.clone(), discard(), now);
            let opener: control::VoterOpener = Box::new(move |fresh, outlet, now| {
                assert!(!fresh, "no VM was retired");
                open(&disk, vm, outlet, now)
            });
            control::ControlThread::new(outlet, receiver, None, None, Vec::new(), discard())
                .with_hub(hub, opener)
                .start(|error| panic!("the control thread ended: {error}"))
                .expect("a thread");
        }
        Self {
            disks,
            mailboxes,
            version: 0,
            accepted: 0,
        }
    }

    /// Sends a command to each VM until one has executed it; `None` if none does in time.
    async fn execute(
        &self,
        command: state::IdempotentCommand,
        limit: time::Duration,
    ) -> Option<state::IdempotentOutcome> {
        let start = time::Instant::now();
        while start.elapsed() < limit {
            for vm in 0..usize::from(VMS) {
                let (reply, outcome) = oneshot::channel();
                let command = command.clone();
                let mailbox = self.mailboxes.lock().expect("no panic")[vm].1.clone();
                mailbox
                    .send(control::Event::Idempotent { command, reply })
                    .expect("the thread runs");
                let outcome = tokio::time::timeout(time::Duration::from_millis(500), outcome);
                if let Ok(Ok(control::IdempotentReply::Done { outcome })) = outcome.await {
                    return Some(outcome);
                }
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        None
    }

    /// Sends the next configuration; returns whether it was accepted.
    async fn configure(&mut self, limit: time::Duration) -> bool {
        self.version += 1;
        let text = self.version.to_string() + &" ".repeat(DOCUMENT_BYTES);
        let document = configuration::Document {
            version: self.version,
            text: text.into(),
        };
        let command = state::IdempotentCommand::Configure(document);
        let accepted = self.execute(command, limit).await.is_some();
        if accepted {
            self.accepted = self.version;
        }
        accepted
    }

    async fn read_version(&self) -> Option<ids::ConfigVersion> {
        let read = self.execute(state::IdempotentCommand::Read, RECOVERY_TIME);
        match read.await? {
            state::IdempotentOutcome::Document(document) => document.map(|held| held.version),
            _ => None,
        }
    }
}

/// Another operator's changes were refused to the end of the day after disks had been full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_accepted_after_disks_were_full_one_after_another() {
    let mut group = Group::start();
    tokio::time::sleep(FULL_TIME).await;
    group.disks[usize::from(VMS) - 1].fail_after(None);
    assert!(
        group.configure(RECOVERY_TIME).await,
        "no change after a disk was full at the start"
    );
    for round in 0..ROUNDS {
        let vm = usize::try_from(round).expect("a small number") % usize::from(VMS);
        group.disks[vm].fail_after(Some(round));
        let full = time::Instant::now();
        while full.elapsed() < FULL_TIME {
            group.configure(FULL_TIME).await;
        }
        group.disks[vm].fail_after(None);
        assert!(
            group.configure(RECOVERY_TIME).await,
            "no change after round {round}"
        );
        let accepted = group.accepted;
        assert!(
            group.read_version().await >= Some(accepted),
            "an accepted change is gone after round {round}"
        );
    }
    // Each VM must be able to carry on with one of the others.
    for vm in 0..usize::from(VMS) {
        tokio::time::sleep(FULL_TIME).await;
        group.disks[vm].fail_after(Some(0));
        assert!(
            group.configure(RECOVERY_TIME).await,
            "VM {vm} was still needed"
        );
        group.disks[vm].fail_after(None);
    }
}

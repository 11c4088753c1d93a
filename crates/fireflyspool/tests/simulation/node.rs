//! Simulated node: a replica with its driver and state machine.

use std::time;

use fireflyspool::{consensus, ids, storage};

use crate::simulation;

/// State machine: the applied commands with their positions.
pub(crate) type State = Vec<(ids::LogIndex, String)>;

/// Process of a node, lost in a crash.
pub(crate) struct Process {
    pub(crate) replica: consensus::Replica,
    pub(crate) folder: storage::DataFolder,
    pub(crate) timer: Option<u64>,
    pub(crate) state: State,
    /// Last applied entry, to check the order.
    pub(crate) applied: ids::LogIndex,
    /// Latest term that this process led, and the first entry of that term.
    pub(crate) led_term: (ids::Term, ids::LogIndex),
    /// Last entry with a member list that this process appended in that term.
    pub(crate) members_written: ids::LogIndex,
}

/// Node with a disk that outlives its process.
pub(crate) struct Node {
    pub(crate) node: ids::NodeId,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) founding: Vec<ids::NodeId>,
    /// Whether the disk was lost and replaced.
    pub(crate) disk_lost: bool,
    pub(crate) disk: simulation::MemDisk,
    pub(crate) process: Option<Process>,
    pub(crate) paused: bool,
    pub(crate) inbox: Vec<consensus::Event>,
    pub(crate) crash_after: Option<u8>,
}

impl Node {
    pub(crate) fn new(
        node: ids::NodeId,
        incarnation: ids::Incarnation,
        founding: Vec<ids::NodeId>,
    ) -> Self {
        let disk = simulation::MemDisk::default();
        let identity = storage::Identity {
            site: "site".to_owned(),
            node,
            incarnation,
            joining: founding.is_empty(),
        };
        storage::DataFolder::init_on(&mut disk.clone(), &identity).expect("the disk is empty");
        Self {
            node,
            incarnation,
            founding,
            disk_lost: false,
            disk,
            process: None,
            paused: false,
            inbox: Vec::new(),
            crash_after: None,
        }
    }

    /// Starts the process and returns its first actions.
    pub(crate) fn start(&mut self, now: time::Instant, entropy: u64) -> Vec<consensus::Action> {
        let disk = Box::new(self.disk.clone());
        let opened = storage::DataFolder::open_on(disk, "site", self.node);
        let (folder, recovered) = opened.expect("a crash leaves a folder that can be opened");
        let config = consensus::Config {
            batch_entries: 3,
            batch_bytes: 300,
            window_entries: 8,
            chunk_bytes: 100,
            kept_entries: 4,
            ..consensus::Config::new(self.node, self.incarnation, self.founding.clone())
        };
        let applied = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let (replica, actions) = consensus::Replica::new(config, recovered, now, entropy);
        self.process = Some(Process {
            replica,
            folder,
            timer: None,
            state: State::new(),
            applied,
            led_term: (0, 0),
            members_written: 0,
        });
        actions
    }

    /// Ends the process.
    pub(crate) fn crash(&mut self, tail: simulation::Tail, cut: u64) {
        self.process = None;
        self.paused = false;
        self.inbox.clear();
        self.crash_after = None;
        self.disk.crash(tail, cut);
    }
}

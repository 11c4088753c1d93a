//! Withdrawn keys under random cuts, suspensions, restarts and membership changes.
//!
//! Configuration number N has one key, which the next one withdraws. The model of the log copies
//! a leader's log to any VMs it reaches, and acknowledges what a majority of the voters holds; a
//! VM that is left out keeps its old log, its old member list and entries that were never
//! committed. Messages take any time, also across the suspension of a VM, during which its
//! [`time::Instant`] stands still.

mod common;
mod departure_log;

use std::{net, sync, sync::atomic, time};

use fireflyspool::{access, configuration, follow, hub, ids, platform};

const HUBS: usize = 5;
const FOLLOWERS: usize = 2;
const BOUND: time::Duration = time::Duration::from_secs(5);

/// Decisions over all runs: allowed, refused for a while, and allowed by a view that an
/// acknowledged configuration had replaced.
static ALLOWED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
static UNSURE: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
static REPLACED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

fn address(port: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], u16::try_from(port).expect("a small number")))
}

fn document(version: u64) -> configuration::Document {
    let text = format!(
        r#"{{"Version":{version},"Routes":[],"Backends":[],
        "Tenants":[{{"Name":"t","ApiKeys":["k{version}"]}}]}}"#
    );
    configuration::Document {
        version,
        text: text.into(),
    }
}

fn route() -> configuration::Route {
    configuration::Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: BOUND,
        objective: BOUND,
        priority: 0,
        max_attempts: 1,
        open: false,
        target: configuration::Target::Service("s".to_owned()),
    }
}

/// Clock and link of a VM.
#[derive(Clone, Copy)]
struct Vm {
    /// Its monotonic clock, which stands still while it is suspended.
    now: time::Instant,
    suspended: bool,
    /// VMs of different sides do not reach each other.
    side: u64,
}

/// Log of a control VM.
#[derive(Clone)]
struct Log {
    committed: u64,
    /// Version of an entry that is not committed.
    pending: Option<u64>,
    voters: Vec<ids::NodeId>,
}

/// Messages between VMs; the last number of each is that of the call, whose end counts once.
enum Message {
    Batch(usize, usize, Box<hub::Batch>, u64),
    Ack(usize, usize, Option<hub::Ack>, u64),
    Poll(usize, usize, Box<hub::FollowRequest>, u64),
    Reply(usize, Option<Box<hub::FollowReply>>, u64),
}

struct Site {
    /// Time since the start of all machines.
    boot: time::Duration,
    /// Control VMs, then entry VMs.
    vms: Vec<Vm>,
    hubs: Vec<hub::Hub>,
    logs: Vec<Log>,
    followers: Vec<follow::Follower>,
    departures: departure_log::DepartureLog,
    messages: Vec<(time::Duration, Message)>,
    /// Committed log.
    log: Log,
    newest: u64,
    /// Acknowledged versions, with the time of the acknowledgement.
    acknowledged: Vec<(u64, time::Duration)>,
    /// Number of hubs started.
    starts: u64,
    /// Incarnation of each hub.
    incarnations: Vec<u64>,
    /// Number of polls sent, and that of the poll in flight of each entry VM.
    polls: u64,
    polling: Vec<Option<u64>>,
}

impl Site {
    fn new() -> Self {
        let start = time::Instant::now();
        let vm = Vm {
            now: start,
            suspended: false,
            side: 0,
        };
        let log = Log {
            committed: 0,
            pending: None,
            voters: vec![0, 1, 2],
        };
        let make_follower = |index| {
            let member = hub::Member {
                callers: address(100 + index),
                listener: None,
                zone: "a".to_owned(),
                region: "r".to_owned(),
                incarnation: index as u64,
                ready: true,
            };
            let contacts = (0..HUBS).map(address).collect();
            let format = sync::Arc::new(platform::ConfigurationFormat);
            follow::Follower::new(member, format, contacts, start).expect("it has contacts")
        };
        Self {
            boot: time::Duration::from_secs(100),
            vms: vec![vm; HUBS + FOLLOWERS],
            hubs: (0..HUBS).map(|index| make_hub(index, 1, start)).collect(),
            logs: vec![log.clone(); HUBS],
            followers: (0..FOLLOWERS).map(make_follower).collect(),
            departures: departure_log::DepartureLog::new(),
            messages: Vec::new(),
            log,
            newest: 0,
            acknowledged: Vec::new(),
            starts: 1,
            incarnations: vec![1; HUBS],
            polls: 0,
            polling: vec![None; FOLLOWERS],
        }
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        self.vms[a].side == self.vms[b].side
    }

    /// Passes a hub the end of its log, as it is now.
    fn read_log(&mut self, index: usize) {
        let log = &self.logs[index];
        let node = index as ids::NodeId;
        let members = log.voters.iter().fold(1, |sum, voter| sum * 31 + voter + 1);
        let state = hub::LogState {
            tail: hub::LogTail {
                node,
                members,
                version: log.committed.max(log.pending.unwrap_or(0)),
            },
            voters: log.voters.clone(),
            votes: log.voters.contains(&node),
        };
        self.hubs[index].set_log(Some(state));
    }

    /// A leader with the whole committed log, and the running control VMs that it reaches and
    /// that take part.
    fn write_set(&self, script: &mut common::Script) -> Option<(usize, Vec<usize>)> {
        let is_complete = |index: &usize| {
            let log = &self.logs[*index];
            log.committed == self.log.committed && log.voters == self.log.voters
        };
        let voters = self.log.voters.iter().map(|voter| *voter as usize);
        let mut leaders: Vec<_> = voters.filter(is_complete).collect();
        leaders.retain(|index| !self.vms[*index].suspended);
        let pick = script.below(leaders.len().max(1) as u64) as usize;
        let leader = *leaders.get(pick)?;
        let mut set: Vec<_> = (0..HUBS).collect();
        set.retain(|index| {
            let reached = self.reach(leader, *index) && !self.vms[*index].suspended;
            *index == leader || reached && script.chance(80)
        });
        Some((leader, set))
    }

    /// Replaces the configuration or, if `voters` is set, the members.
    fn propose(&mut self, voters: Option<Vec<ids::NodeId>>, script: &mut common::Script) {
        let Some((leader, set)) = self.write_set(script) else {
            return;
        };
        let changes_members = voters.is_some();
        let mut log = self.logs[leader].clone();
        log.voters = voters.unwrap_or(log.voters);
        let holders = set
            .iter()
            .filter(|index| log.voters.contains(&(**index as u64)));
        let is_committed = holders.count() * 2 > log.voters.len();
        match (changes_members, is_committed) {
            (true, false) => return,
            (true, true) => {}
            (false, _) => {
                self.newest += 1;
                log.pending = Some(self.newest);
            }
        }
        if is_committed {
            // An earlier entry that the leader held is committed with it.
            log.committed = log.committed.max(log.pending.take().unwrap_or(0));
            if !changes_members {
                self.acknowledged.push((log.committed, self.boot));
            }
            self.log = log.clone();
        }
        for index in set {
            self.logs[index] = log.clone();
        }
    }

    fn step(&mut self, script: &mut common::Script) {
        let hub = script.below(HUBS as u64) as usize;
        let vm = script.below((HUBS + FOLLOWERS) as u64) as usize;
        match script.below(16) {
            0..=3 => self.propose(None, script),
            4 => {
                let mut voters = self.log.voters.clone();
                match voters.binary_search(&(hub as u64)) {
                    Ok(position) if voters.len() > 1 => drop(voters.remove(position)),
                    Ok(_) => {}
                    Err(position) => voters.insert(position, hub as u64),
                }
                self.propose(Some(voters), script);
            }
            5 => self.vms[vm].suspended = true,
            6 | 7 => self.vms.iter_mut().for_each(|vm| vm.suspended = false),
            8 => self.vms[vm].side = script.below(2),
            9 | 10 => self.vms.iter_mut().for_each(|vm| vm.side = 0),
            // A later leader overwrites an entry that was not committed.
            11 => self.logs[hub].pending = None,
            12 => {
                self.starts += 1;
                self.incarnations[hub] = self.starts;
                self.hubs[hub] = make_hub(hub, self.starts, self.vms[hub].now);
                for number in 0..FOLLOWERS {
                    if let (true, Some(poll)) = (self.polled(number) == hub, self.polling[number]) {
                        self.post(Message::Reply(number, None, poll), script);
                    }
                }
            }
            _ => self.apply(hub),
        }
        let elapsed = match script.below(8) {
            0 => time::Duration::from_millis(script.below(3_000)),
            _ => time::Duration::from_millis(1 + script.below(200)),
        };
        self.boot += elapsed;
        for vm in self.vms.iter_mut().filter(|vm| !vm.suspended) {
            vm.now += elapsed;
        }
    }

    /// Control VM that an entry VM polls.
    fn polled(&self, number: usize) -> usize {
        usize::from(self.followers[number].hub().port())
    }

    fn apply(&mut self, index: usize) {
        if self.logs[index].committed > 0 && !self.vms[index].suspended {
            self.hubs[index].set_document(&document(self.logs[index].committed));
        }
    }

    fn post(&mut self, message: Message, script: &mut common::Script) {
        let delay = time::Duration::from_millis(script.below(4) * script.below(300));
        self.messages.push((self.boot + delay, message));
    }

    /// Runs the VMs that are not suspended, and delivers the messages that are due.
    fn deliver(&mut self, script: &mut common::Script) {
        for _ in 0..4 {
            for index in 0..HUBS {
                if !self.vms[index].suspended {
                    self.read_log(index);
                    for action in self.hubs[index].advance(self.vms[index].now, self.boot) {
                        self.execute(index, action, script);
                    }
                }
            }
            for number in 0..FOLLOWERS {
                let vm = self.vms[HUBS + number];
                let poll = (!vm.suspended)
                    .then(|| self.followers[number].poll(&[], vm.now, self.boot))
                    .flatten();
                if let Some(poll) = poll {
                    let (hub, request) = (usize::from(poll.hub.port()), Box::new(poll.request));
                    self.polls += 1;
                    self.polling[number] = Some(self.polls);
                    self.post(Message::Poll(number, hub, request, self.polls), script);
                }
            }
            for (due, message) in std::mem::take(&mut self.messages) {
                let target = match message {
                    Message::Batch(_, to, ..) | Message::Ack(_, to, ..) => to,
                    Message::Poll(_, hub, ..) => hub,
                    Message::Reply(number, ..) => HUBS + number,
                };
                match due > self.boot || self.vms[target].suspended {
                    true => self.messages.push((due, message)),
                    false => self.receive(message, script),
                }
            }
        }
    }

    fn receive(&mut self, message: Message, script: &mut common::Script) {
        match message {
            Message::Batch(from, to, batch, call) => {
                self.read_log(to);
                let now = self.vms[to].now;
                let reached = self.reach(from, to);
                let ack = reached.then(|| self.hubs[to].receive_batch(*batch, now));
                self.post(Message::Ack(to, from, ack, call), script);
            }
            Message::Ack(from, to, ack, call) if self.incarnations[to] == call => {
                let ack = ack.filter(|_| self.reach(from, to));
                self.hubs[to].exchange_ended(address(from), ack.as_ref(), self.vms[to].now);
            }
            Message::Poll(number, hub, request, call) => match self.reach(HUBS + number, hub) {
                true => {
                    let ticket = call * FOLLOWERS as u64 + number as u64;
                    self.hubs[hub].follow(ticket, *request, self.vms[hub].now);
                }
                false => self.post(Message::Reply(number, None, call), script),
            },
            Message::Reply(number, reply, call) if self.polling[number] == Some(call) => {
                self.polling[number] = None;
                let ended = self.followers[number]
                    .poll_ended(reply.map(|reply| *reply), self.vms[HUBS + number].now);
                ended.expect("the configuration can be used");
            }
            Message::Ack(..) | Message::Reply(..) => {}
        }
    }

    fn execute(&mut self, index: usize, action: hub::Action, script: &mut common::Script) {
        match action {
            hub::Action::Exchange { peer, batch } => {
                let (to, call) = (usize::from(peer.port()), self.incarnations[index]);
                self.post(Message::Batch(index, to, batch, call), script);
            }
            hub::Action::Reply { ticket, reply } => {
                let (call, number) = (ticket / FOLLOWERS as u64, ticket as usize % FOLLOWERS);
                let reply = self.reach(index, HUBS + number).then_some(reply);
                self.post(Message::Reply(number, reply, call), script);
            }
            hub::Action::Record { departures } => {
                let revision = self.departures.commit(departures, 0);
                self.hubs[index].record_ended(revision, self.vms[index].now);
                self.hubs[index].set_departures(self.departures.table(), self.vms[index].now);
            }
            hub::Action::Acknowledge { .. } | hub::Action::Publish(_) => {}
        }
    }

    /// Sends a request with the key of each running entry VM's configuration.
    fn check(&self) {
        for number in (0..FOLLOWERS).filter(|number| !self.vms[HUBS + number].suspended) {
            let view = self.followers[number].view();
            let Some(table) = &view.table else { continue };
            let version = table.version();
            let key = bytes::Bytes::from(format!("Bearer k{version}"));
            let credentials = access::Credentials::new(vec![key]);
            let freshness = access::Freshness::new(view.authority, Some(BOUND), self.boot);
            match access::authorize(&route(), table.accounts(), &credentials, freshness) {
                access::Decision::Allowed(_) => {}
                _ => {
                    UNSURE.fetch_add(1, atomic::Ordering::Relaxed);
                    continue;
                }
            }
            ALLOWED.fetch_add(1, atomic::Ordering::Relaxed);
            for (newer, acknowledged) in &self.acknowledged {
                if *newer > version {
                    REPLACED.fetch_add(1, atomic::Ordering::Relaxed);
                    let late = self.boot.saturating_sub(*acknowledged);
                    assert!(
                        late <= BOUND,
                        "key of version {version} works {late:?} after version {newer}"
                    );
                }
            }
        }
    }
}

fn make_hub(index: usize, incarnation: u64, now: time::Instant) -> hub::Hub {
    let info = hub::HubInfo {
        rpc: address(index),
        control: address(1_000 + index),
        zone: "a".to_owned(),
        incarnation,
    };
    let config = hub::Config::new(time::Duration::from_millis(1_200));
    let contacts: Vec<_> = (0..HUBS).map(address).collect();
    hub::Hub::new(info, config, &contacts, now)
}

/// Guards against a withdrawn key that works later than the bound after the acknowledgement, on
/// any entry VM, however the VMs are cut off, suspended, restarted or replaced.
#[test]
fn no_withdrawn_key_works_after_the_bound() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut site = Site::new();
        while !script.is_exhausted() {
            site.step(&mut script);
            site.deliver(&mut script);
            site.check();
        }
        true
    }
    common::check(20, 200, 3_000, property);
    let counts = [&ALLOWED, &UNSURE, &REPLACED].map(|count| count.load(atomic::Ordering::Relaxed));
    println!("allowed, unsure, allowed by a replaced view: {counts:?}");
    assert!(
        counts.iter().all(|count| *count > 500),
        "{counts:?} decisions"
    );
}

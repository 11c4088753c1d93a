//! Departures of backend servers under random series of restarts, cuts and late reports.
//!
//! Three hubs share a log that has a leader or not. Each is restarted, alone or with the others,
//! and cut off; servers report, drain, deregister and start again, and reports that they sent
//! before arrive at any hub at any time.

mod common;
mod departure_log;

use std::{net, time};

use fireflyspool::{hub, ids, registry};

const HUBS: usize = 3;
const SERVERS: u16 = 4;
const ZONES: [&str; HUBS] = ["a", "b", "c"];

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn start_hub(index: usize, incarnation: u64, now: time::Instant) -> hub::Hub {
    let port = u16::try_from(index + 1).expect("a small number");
    let info = hub::HubInfo {
        rpc: address(port),
        control: address(port + 1_000),
        zone: ZONES[index].to_owned(),
        incarnation,
    };
    let config = hub::Config::new(time::Duration::from_millis(1_200));
    let contacts: Vec<_> = (1..=3).map(address).collect();
    hub::Hub::new(info, config, &contacts, now)
}

#[derive(Default)]
struct Server {
    born: ids::BornMillis,
    sequence: u64,
    /// Whether this incarnation has told that it leaves.
    leaves: bool,
    /// Start times of the incarnations whose departure was acknowledged.
    departed: Vec<ids::BornMillis>,
}

struct Group {
    hubs: Vec<hub::Hub>,
    log: departure_log::DepartureLog,
    /// Hub that neither the others nor the log reach.
    cut: Option<usize>,
    starts: u64,
    now: time::Instant,
    servers: Vec<Server>,
    /// Server and incarnation that each ticket says to leave, if it does.
    tickets: Vec<Option<(usize, ids::BornMillis)>>,
}

impl Group {
    fn new() -> Self {
        let now = time::Instant::now();
        let hubs = (0..HUBS).map(|index| start_hub(index, index as u64 + 1, now));
        Self {
            hubs: hubs.collect(),
            log: departure_log::DepartureLog::new(),
            cut: None,
            starts: HUBS as u64,
            now,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            tickets: Vec::new(),
        }
    }

    fn report(
        &mut self,
        server: usize,
        born: u64,
        sequence: u64,
        leaves: bool,
    ) -> registry::Report {
        let number = u16::try_from(server).expect("a small number");
        self.tickets.push(leaves.then_some((server, born)));
        registry::Report {
            version: String::new(),
            server: format!("s{server}"),
            born,
            sequence,
            service: "shard".to_owned(),
            address: address(9_000 + number),
            zone: "a".to_owned(),
            slots: 2,
            phase: match leaves {
                true => registry::Phase::Leaving,
                false => registry::Phase::Serving,
            },
            cold_left: time::Duration::ZERO,
        }
    }

    /// One event at a random hub, server and time.
    fn step(&mut self, script: &mut common::Script) {
        let hub = script.below(HUBS as u64) as usize;
        let server = script.below(u64::from(SERVERS)) as usize;
        let now = self.now;
        let (born, leaves) = (self.servers[server].born, self.servers[server].leaves);
        match script.below(12) {
            0..=2 => {
                self.servers[server].sequence += 1;
                let sequence = self.servers[server].sequence;
                let report = self.report(server, born, sequence, leaves);
                self.hubs[hub].report(self.tickets.len() as u64, report, now);
            }
            3 => self.servers[server].leaves = true,
            4 => {
                self.servers[server].leaves = true;
                self.tickets.push(Some((server, born)));
                let ticket = self.tickets.len() as u64;
                self.hubs[hub].deregister(ticket, &format!("s{server}"), Some(born), now);
            }
            5 | 6 => {
                // A report that the server sent before, of this incarnation or an earlier one.
                let (born, sequence) = (script.below(born + 1), script.below(50));
                let report = self.report(server, born, sequence, false);
                let ticket = self.tickets.len() as u64;
                self.hubs[hub].report(ticket, report, now);
            }
            7 if leaves => {
                let departed = std::mem::take(&mut self.servers[server].departed);
                self.servers[server] = Server {
                    born: born + 1,
                    departed,
                    ..Server::default()
                };
            }
            8 => self.restart(hub),
            9 => {
                self.log.restart();
                (0..HUBS).for_each(|index| self.restart(index));
            }
            10 => self.cut = script.chance(60).then_some(hub),
            11 => self.log.has_leader = !self.log.has_leader,
            _ => {}
        }
        self.now += time::Duration::from_millis(1 + script.below(400));
    }

    fn restart(&mut self, hub: usize) {
        self.starts += 1;
        self.hubs[hub] = start_hub(hub, self.starts, self.now);
    }

    fn deliver(&mut self) {
        for _ in 0..6 {
            for index in 0..HUBS {
                for action in self.hubs[index].advance(self.now, time::Duration::ZERO) {
                    self.execute(index, action);
                }
                if self.cut != Some(index) {
                    self.hubs[index].set_departures(self.log.table(), self.now);
                }
            }
        }
    }

    /// Servers that an entry VM which has just started learns from a hub.
    fn listed(&mut self, index: usize) -> Vec<registry::Record> {
        let request = hub::FollowRequest {
            rollout_revision: 0,
            member: hub::Member {
                callers: address(100),
                listener: None,
                zone: "a".to_owned(),
                region: "r".to_owned(),
                incarnation: 1,
                ready: true,
            },
            incarnation: 0,
            position: 0,
            records: true,
            version: 0,
            revision: 0,
            outlier_revision: 0,
            content_position: 0,
            contents: Vec::new(),
            hubs: 0,
            delegates: None,
            suspended: Vec::new(),
        };
        self.hubs[index].follow(0, request, self.now);
        let mut records = Vec::new();
        for action in self.hubs[index].advance(self.now, time::Duration::ZERO) {
            match action {
                hub::Action::Reply { reply, .. } => records.extend(reply.changes.records),
                other => self.execute(index, other),
            }
        }
        records
    }

    fn execute(&mut self, index: usize, action: hub::Action) {
        let now = self.now;
        match action {
            hub::Action::Exchange { peer, batch } => {
                let other = usize::from(peer.port()) - 1;
                let lost = self.cut.is_some_and(|cut| cut == index || cut == other);
                let ack = (!lost).then(|| self.hubs[other].receive_batch(*batch, now));
                self.hubs[index].exchange_ended(peer, ack.as_ref(), now);
            }
            hub::Action::Record { departures } => {
                let reached = self.cut != Some(index);
                let revision = reached.then(|| self.log.commit(departures, 0)).flatten();
                self.hubs[index].record_ended(revision, now);
            }
            hub::Action::Acknowledge { ticket, accepted } => {
                let ticket = usize::try_from(ticket).expect("a small number");
                if let (true, Some((server, born))) = (accepted, self.tickets[ticket - 1]) {
                    self.servers[server].departed.push(born);
                }
            }
            hub::Action::Reply { .. } | hub::Action::Publish(_) => {}
        }
    }
}

/// Guards against an acknowledged departure that any series of restarts, cuts and late reports
/// takes back at a hub which the others reach.
#[test]
fn no_series_of_restarts_takes_an_acknowledged_departure_back() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut group = Group::new();
        while !script.is_exhausted() {
            group.step(&mut script);
            group.deliver();
            let cut = group.cut;
            for index in (0..HUBS).filter(|index| cut != Some(*index)) {
                for record in group.listed(index) {
                    let number: usize = record.server[1..].parse().expect("a number");
                    let is_departed = group.servers[number].departed.contains(&record.born);
                    let serves = record.phase == registry::Phase::Serving;
                    assert!(!(serves && is_departed), "hub {index} lists {record:?}");
                }
            }
        }
        true
    }
    common::check(20, 50, 800, property);
}

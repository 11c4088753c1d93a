//! Hubs, entry VMs and backend servers of a site in virtual time, with a count of the
//! messages and bytes between them.

#![allow(dead_code, reason = "each test binary uses a part of the module")]

#[path = "../departure_log/mod.rs"]
mod departure_log;
mod traffic;

use std::{net, sync, time};

use fireflyspool::{configuration, containment, follow, hub, ids, platform, registry};
pub(crate) use traffic::Traffic;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Control VMs; as many at every size, so that what is measured grows with the others.
const HUBS: u16 = 9;

/// Ratio of the largest site of the users.
const SERVERS_PER_VM: f64 = 2.3;

const HEARTBEAT: time::Duration = time::Duration::from_millis(1_200);

/// Incarnations have as many digits as the random ones of real processes.
const LARGE_INCARNATION: u64 = 1 << 52;

/// Step of the virtual time.
const STEP: time::Duration = time::Duration::from_millis(10);

pub(crate) struct ControlSite {
    hubs: Vec<hub::Hub>,
    log: departure_log::DepartureLog,
    /// Hub that no message reaches or leaves.
    cut: Option<usize>,
    restarts: u64,
    followers: Vec<follow::Follower>,
    servers: u16,
    sequence: u64,
    now: time::Instant,
    steps: u64,
    /// Entry VM that made the last report.
    reporter: usize,
    pub(crate) traffic: Traffic,
}

fn address(host: u16, port: u16) -> net::SocketAddr {
    let [high, low] = host.to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], port))
}

fn zone(number: u16) -> String {
    ZONES[usize::from(number) % ZONES.len()].to_owned()
}

pub(crate) fn server_name(number: u16) -> String {
    format!("i-{number:08x}")
}

/// The hub with this number; `start` differs between its incarnations.
fn make_hub(number: u16, start: u64, now: time::Instant) -> hub::Hub {
    let contacts: Vec<_> = (0..HUBS).map(|number| address(number, 7_740)).collect();
    let info = hub::HubInfo {
        rpc: address(number, 7_740),
        control: address(number, 8_224),
        zone: zone(number),
        incarnation: LARGE_INCARNATION + start * u64::from(HUBS) + u64::from(number),
    };
    let config = hub::Config::new(HEARTBEAT);
    let mut hub = hub::Hub::new(info, config, &contacts[..3], now);
    hub.set_group(contacts);
    hub.set_document(&configuration::Document {
        version: 1,
        text: r#"{"Version":1,"Routes":[],"Backends":[]}"#.into(),
    });
    hub
}

impl ControlSite {
    /// A site that has been up for a few seconds.
    pub(crate) fn settled(entry_vms: u16) -> Self {
        let now = time::Instant::now();
        let contacts: Vec<_> = (0..HUBS).map(|number| address(number, 7_740)).collect();
        let make_follower = |number: u16| {
            let member = hub::Member {
                callers: address(1_000 + number, 8_226),
                listener: Some(address(1_000 + number, 7_740)),
                zone: zone(number),
                region: "region".to_owned(),
                incarnation: LARGE_INCARNATION + u64::from(number),
                ready: false,
            };
            let format = sync::Arc::new(platform::ConfigurationFormat);
            // They do not start at the same moment.
            let start = now + STEP * u32::from(number % 40);
            follow::Follower::new(member, format, contacts[..3].to_vec(), start)
        };
        let mut site = Self {
            hubs: (0..HUBS).map(|number| make_hub(number, 0, now)).collect(),
            log: departure_log::DepartureLog::new(),
            cut: None,
            restarts: 0,
            followers: (0..entry_vms).filter_map(make_follower).collect(),
            servers: (f64::from(entry_vms) * SERVERS_PER_VM) as u16,
            sequence: 0,
            now,
            steps: 0,
            reporter: 0,
            traffic: Traffic::default(),
        };
        site.run(time::Duration::from_secs(6));
        site.traffic = Traffic::default();
        site
    }

    pub(crate) fn entry_vms(&self) -> usize {
        self.followers.len()
    }

    /// Follower of an entry VM.
    pub(crate) fn follower(&self, number: usize) -> &follow::Follower {
        &self.followers[number]
    }

    /// Advances the time; backend servers send heartbeats meanwhile.
    pub(crate) fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.send_heartbeats();
            self.send_polls();
            // A batch can cause another one.
            for _ in 0..3 {
                self.advance_hubs();
            }
        }
    }

    /// Has entry VMs in turn report that an attempt at each of the servers is overdue.
    pub(crate) fn report_overdue(&mut self, servers: impl Iterator<Item = u16>) {
        for server in servers {
            self.reporter = (self.reporter + 31) % self.followers.len();
            let observation = (server_name(server), hub::Symptom::Overdue);
            let hub = self.followers[self.reporter].observer(&observation);
            let reports = vec![observation];
            self.traffic.count_observation(&reports);
            self.hubs[host(hub)].observe(reports, self.now);
        }
    }

    /// Has an entry VM notice a crash under a content; its report is lost if `lost`.
    pub(crate) fn report_crash(
        &mut self,
        vm: usize,
        content: ids::Fingerprint,
        crash: containment::Crash,
        lost: bool,
    ) {
        let symptom = hub::Symptom::Crashed {
            unseen: false,
            born: crash.born,
            content,
            probe: crash.probe,
        };
        let observation = (crash.server.clone(), symptom);
        let hub = host(self.followers[vm].observer(&observation));
        let changed = self.followers[vm].note_crash(content, crash, self.now);
        if changed && !lost && self.cut != Some(hub) {
            let reports = vec![observation];
            self.traffic.count_observation(&reports);
            self.hubs[hub].observe(reports, self.now);
        }
    }

    /// Number of entry VMs that refuse a content.
    pub(crate) fn refusing(&self, content: ids::Fingerprint) -> usize {
        let refuses = |follower: &&follow::Follower| {
            let verdict = follower.view().contents.verdict(content, 0.0, self.now);
            matches!(verdict, containment::Verdict::Refused { .. })
        };
        self.followers.iter().filter(refuses).count()
    }

    /// Replaces hubs by new incarnations that know nothing.
    pub(crate) fn restart_hubs(&mut self, numbers: impl Iterator<Item = u16>) {
        for number in numbers {
            self.end_polls(usize::from(number));
            self.restarts += 1;
            self.hubs[usize::from(number)] = make_hub(number, self.restarts, self.now);
        }
    }

    /// Ends the polls that a hub holds without a reply.
    fn end_polls(&mut self, hub: usize) {
        for follower in &mut self.followers {
            if host(follower.hub()) == hub && follower.next_poll().is_none() {
                let ended = follower.poll_ended(None, self.now);
                ended.expect("there is no configuration");
            }
        }
    }

    /// Number of control VMs.
    pub(crate) fn control_vms(&self) -> u16 {
        HUBS
    }

    /// Hub that an entry VM polls.
    pub(crate) fn hub_of(&self, vm: usize) -> usize {
        host(self.followers[vm].hub())
    }

    /// Cuts one hub off from all others and all entry VMs, or ends the cut.
    pub(crate) fn cut_hub(&mut self, hub: Option<usize>) {
        if let Some(hub) = hub {
            self.end_polls(hub);
        }
        self.cut = hub;
    }

    fn send_heartbeats(&mut self) {
        let period = (HEARTBEAT.as_millis() / STEP.as_millis()) as u64;
        self.sequence = self.steps / period + 1;
        for number in 0..self.servers {
            if u64::from(number) % period != self.steps % period {
                continue;
            }
            let report = registry::Report {
                version: String::new(),
                server: server_name(number),
                born: 1_764_880_000_000,
                sequence: self.sequence,
                service: format!("shard{:03}", number / 3),
                address: address(5_000 + number, 8_080),
                zone: zone(number),
                slots: 7,
                phase: registry::Phase::Serving,
                cold_left: time::Duration::ZERO,
            };
            let hub = usize::from(number % HUBS);
            self.hubs[hub].report(u64::MAX, report, self.now);
        }
    }

    fn send_polls(&mut self) {
        for number in 0..self.followers.len() {
            if let Some(poll) = self.followers[number].poll(&[], self.now, time::Duration::ZERO) {
                if self.cut == Some(host(poll.hub)) {
                    let ended = self.followers[number].poll_ended(None, self.now);
                    ended.expect("there is no configuration");
                    continue;
                }
                self.traffic.count_poll(&poll.request);
                self.hubs[host(poll.hub)].follow(number as u64, poll.request, self.now);
            }
        }
    }

    fn advance_hubs(&mut self) {
        for index in 0..self.hubs.len() {
            for action in self.hubs[index].advance(self.now, time::Duration::ZERO) {
                self.execute(index, action);
            }
        }
    }

    fn execute(&mut self, index: usize, action: hub::Action) {
        match action {
            hub::Action::Exchange { peer, batch } => {
                self.traffic.count_batch(&batch);
                let lost = self
                    .cut
                    .is_some_and(|cut| cut == index || cut == host(peer));
                let ack = (!lost).then(|| self.hubs[host(peer)].receive_batch(*batch, self.now));
                self.hubs[index].exchange_ended(peer, ack.as_ref(), self.now);
            }
            // The entry VM has given up this poll.
            hub::Action::Reply { .. } if self.cut == Some(index) => {}
            hub::Action::Reply { ticket, reply } => {
                self.traffic.count_reply(&reply);
                let number = usize::try_from(ticket).expect("the number of a follower");
                let ended = self.followers[number].poll_ended(Some(*reply), self.now);
                ended.expect("the configuration can be used");
            }
            hub::Action::Record { departures } => {
                let revision = self.log.commit(departures, 0);
                self.hubs[index].record_ended(revision, self.now);
                for hub in &mut self.hubs {
                    hub.set_departures(self.log.table(), self.now);
                }
            }
            hub::Action::Acknowledge { .. } | hub::Action::Publish(_) => {}
        }
    }
}

/// Number of the hub with this listener.
fn host(listener: net::SocketAddr) -> usize {
    match listener.ip() {
        net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
        net::IpAddr::V6(_) => unreachable!("the site has IPv4 addresses"),
    }
}

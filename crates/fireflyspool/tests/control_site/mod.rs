//! Hubs, entry VMs and backend servers of a site in virtual time, with a count of the
//! messages and bytes between them.

mod traffic;

use std::{net, sync, time};

use fireflyspool::{configuration, follow, hub, platform, registry};
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

impl ControlSite {
    /// A site that has been up for a few seconds.
    pub(crate) fn settled(entry_vms: u16) -> Self {
        let now = time::Instant::now();
        let contacts: Vec<_> = (0..HUBS).map(|number| address(number, 7_740)).collect();
        let config = hub::Config::new(HEARTBEAT);
        let document = configuration::Document {
            version: 1,
            text: r#"{"Version":1,"Routes":[],"Backends":[]}"#.into(),
        };
        let make_hub = |number: u16| {
            let info = hub::HubInfo {
                rpc: address(number, 7_740),
                control: address(number, 8_224),
                zone: zone(number),
                incarnation: LARGE_INCARNATION + u64::from(number),
            };
            let mut hub = hub::Hub::new(info, config, &contacts[..3]);
            hub.set_group(contacts.clone());
            hub.set_document(&document);
            hub
        };
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
            hubs: (0..HUBS).map(make_hub).collect(),
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

    fn send_heartbeats(&mut self) {
        let period = (HEARTBEAT.as_millis() / STEP.as_millis()) as u64;
        self.sequence = self.steps / period + 1;
        for number in 0..self.servers {
            if u64::from(number) % period != self.steps % period {
                continue;
            }
            let report = registry::Report {
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
            if let Some(poll) = self.followers[number].poll(&[], self.now) {
                self.traffic.count_poll(&poll.request);
                self.hubs[host(poll.hub)].follow(number as u64, poll.request, self.now);
            }
        }
    }

    fn advance_hubs(&mut self) {
        for index in 0..self.hubs.len() {
            for action in self.hubs[index].advance(self.now) {
                self.execute(index, action);
            }
        }
    }

    fn execute(&mut self, index: usize, action: hub::Action) {
        match action {
            hub::Action::Exchange { peer, batch } => {
                self.traffic.count_batch(&batch);
                let ack = self.hubs[host(peer)].receive_batch(*batch, self.now);
                self.hubs[index].exchange_ended(peer, Some(&ack), self.now);
            }
            hub::Action::Reply { ticket, reply } => {
                self.traffic.count_reply(&reply);
                let number = usize::try_from(ticket).expect("the number of a follower");
                let ended = self.followers[number].poll_ended(Some(*reply), self.now);
                ended.expect("the configuration can be used");
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

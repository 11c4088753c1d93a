//! What backend servers state about themselves binds the choice of servers.

use std::{collections, sync, time};

use fireflyspool::{backend, configuration, fleet, hub, registry};

const SERVICES: [&str; 2] = ["one", "two"];
const SERVERS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn record(server: &str, born: u64, port: u16, service: &str) -> registry::Record {
    registry::Record {
        version: String::new(),
        server: server.to_owned(),
        born,
        sequence: 1,
        service: service.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "z".to_owned(),
        slots: 2,
        phase: registry::Phase::Serving,
        cold_ms: 0,
        age_ms: 0,
        silent: false,
    }
}

fn service() -> configuration::Service {
    configuration::Service {
        max_connections: 1_000,
        warm_up: time::Duration::ZERO,
        cold_rate: 0.0,
    }
}

/// Fleet with the view that its control VMs sent.
struct Site {
    fleet: fleet::Fleet,
    view: fleet::View,
    now: time::Instant,
}

impl Site {
    fn new() -> Self {
        let limits = fleet::RetryLimits {
            ratio: 0.2,
            slack: 100.0,
            window: time::Duration::from_secs(10),
        };
        let table = configuration::RoutingTable::new(configuration::Configuration {
            version: 1,
            routes: Vec::new(),
            services: SERVICES
                .iter()
                .map(|name| ((*name).to_owned(), service()))
                .collect(),
            accounts: Vec::new(),
            limits: configuration::CallerLimits::default(),
        });
        Self {
            fleet: fleet::Fleet::new("z".to_owned(), 1, limits),
            view: fleet::View {
                table: Some(sync::Arc::new(table)),
                members: 1,
                ..fleet::View::default()
            },
            now: time::Instant::now(),
        }
    }

    fn publish(&mut self, record: registry::Record) {
        let name = record.server.clone();
        let known = fleet::KnownServer::new(record, self.now);
        self.view.servers.insert(name, known);
        self.view.generation += 1;
        self.fleet.update(&self.view, self.now);
    }

    fn state(&mut self, server: &str, born: u64, condition: &backend::Condition) -> bool {
        let key = (SERVICES[0], server);
        self.fleet.record_condition(key, born, condition, self.now)
    }

    /// All servers of a service that may get a request now.
    fn usable(&mut self, service: &str) -> Vec<String> {
        let mut usable: Vec<String> = Vec::new();
        while let Some(picked) = self.fleet.pick(service, &usable, 7, self.now) {
            usable.push(picked.server);
        }
        usable.sort();
        usable
    }
}

fn leaving() -> backend::Condition {
    backend::Condition {
        leaving: true,
        ..backend::Condition::default()
    }
}

fn pause(millis: u64) -> backend::Condition {
    backend::Condition {
        pause: Some(time::Duration::from_millis(millis)),
        ..backend::Condition::default()
    }
}

/// Guards against a heartbeat or view that brings back a server which has said that it
/// leaves, and a later incarnation that is not used.
#[test]
fn a_departure_ends_only_with_a_later_incarnation() {
    let mut site = Site::new();
    site.publish(record("a", 5, 1, "one"));
    site.publish(record("b", 5, 2, "one"));
    assert!(site.state("a", 5, &leaving()), "reported to the hub once");
    assert!(!site.state("a", 5, &leaving()));
    let reported = site.fleet.take_observations();
    let expected = ("a".to_owned(), hub::Symptom::Leaving { born: 5 });
    assert_eq!(reported, [expected]);
    site.now += time::Duration::from_secs(100);
    site.publish(record("a", 5, 9, "one"));
    assert_eq!(site.usable("one"), ["b"], "with another address too");
    site.publish(record("a", 5, 9, "two"));
    assert!(site.usable("two").is_empty(), "with another service too");
    site.publish(record("a", 6, 1, "one"));
    assert!(!site.state("a", 5, &leaving()), "a late answer");
    assert_eq!(site.usable("one"), ["a", "b"]);
}

/// Guards against a pause that a shorter one, a view or a reconnection ends early.
#[test]
fn a_pause_lasts_until_its_end_or_a_later_incarnation() {
    let mut site = Site::new();
    site.publish(record("a", 5, 1, "one"));
    site.state("a", 5, &pause(2_000));
    site.state("a", 5, &pause(100));
    site.now += time::Duration::from_millis(1_999);
    site.publish(record("a", 5, 2, "one"));
    assert!(site.usable("one").is_empty());
    let back = site.now + time::Duration::from_millis(1);
    assert_eq!(site.fleet.usable_at("one", site.now), Some(back));
    site.now = back;
    assert_eq!(site.usable("one"), ["a"]);
    site.state("a", 5, &pause(u64::MAX));
    site.now += time::Duration::from_secs(1_000_000);
    assert!(site.usable("one").is_empty());
    site.publish(record("a", 6, 2, "one"));
    assert_eq!(site.usable("one"), ["a"]);
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Publish {
        server: usize,
        born: u64,
        port: u16,
        service: usize,
    },
    Leave {
        server: usize,
        born: u64,
    },
    Pause {
        server: usize,
        born: u64,
        millis: u64,
    },
    Wait {
        millis: u64,
    },
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(generator: &mut quickcheck::Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(generator) % limit;
        let server = usize::try_from(below(5)).expect("small");
        let born = below(4);
        match below(5) {
            0 | 1 => Self::Publish {
                server,
                born,
                port: u16::try_from(below(3)).expect("small"),
                service: usize::from(below(8) == 0),
            },
            2 => Self::Leave { server, born },
            3 => Self::Pause {
                server,
                born,
                millis: below(3_000),
            },
            _ => Self::Wait {
                millis: below(1_500),
            },
        }
    }
}

/// What the oracle remembers: the published incarnation and service of each server, and
/// each statement as it was made.
#[derive(Default)]
struct Oracle {
    published: collections::BTreeMap<usize, (u64, usize)>,
    departures: Vec<(usize, u64)>,
    pauses: Vec<(usize, u64, time::Instant)>,
}

impl Oracle {
    fn usable(&self, service: usize, now: time::Instant) -> Vec<String> {
        let usable = self.published.iter().filter(|(server, (born, listed))| {
            let left = self.departures.contains(&(**server, *born));
            let mut pauses = self.pauses.iter();
            let paused =
                pauses.any(|(paused, of, end)| (paused, of) == (*server, born) && *end > now);
            *listed == service && !left && !paused
        });
        usable
            .map(|(server, _)| SERVERS[*server].to_owned())
            .collect()
    }
}

/// Plays random steps against an oracle of who may be sent to.
#[test]
fn only_servers_that_want_requests_get_them() {
    fn property(steps: Vec<Step>) -> bool {
        let (mut site, mut oracle) = (Site::new(), Oracle::default());
        for step in steps {
            play(&mut site, &mut oracle, &step);
            for (index, service) in SERVICES.iter().enumerate() {
                let usable = site.usable(service);
                if usable != oracle.usable(index, site.now) {
                    return false;
                }
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .tests(3_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

fn play(site: &mut Site, oracle: &mut Oracle, step: &Step) {
    let known = |oracle: &Oracle, server| oracle.published.get(server).map(|(born, _)| *born);
    match step {
        Step::Publish {
            server,
            born,
            port,
            service,
        } => {
            // A view never goes back to an earlier incarnation.
            if known(oracle, server).is_none_or(|known| known <= *born) {
                site.publish(record(SERVERS[*server], *born, *port, SERVICES[*service]));
                oracle.published.insert(*server, (*born, *service));
            }
        }
        // An answer comes from an incarnation that was published, perhaps long ago.
        Step::Leave { server, born } if known(oracle, server) >= Some(*born) => {
            site.state(SERVERS[*server], *born, &leaving());
            oracle.departures.push((*server, *born));
        }
        Step::Pause {
            server,
            born,
            millis,
        } if known(oracle, server) >= Some(*born) => {
            site.state(SERVERS[*server], *born, &pause(*millis));
            let end = site.now + time::Duration::from_millis(*millis);
            oracle.pauses.push((*server, *born, end));
        }
        Step::Leave { .. } | Step::Pause { .. } => {}
        Step::Wait { millis } => site.now += time::Duration::from_millis(*millis),
    }
}

//! Tests of hubs: their exchange of batches and the polls of entry VMs.

mod departure_log;

use std::{net, time};

use fireflyspool::{configuration, hub, registry};

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn origin(port: u16, zone: &str) -> hub::HubInfo {
    hub::HubInfo {
        rpc: address(port),
        control: address(port + 1_000),
        zone: zone.to_owned(),
        incarnation: u64::from(port),
    }
}

fn report(server: &str, phase: registry::Phase, sequence: u64) -> registry::Report {
    registry::Report {
        version: String::new(),
        server: server.to_owned(),
        born: 1,
        sequence,
        service: "shard-1".to_owned(),
        address: address(9_000),
        zone: "a".to_owned(),
        slots: 2,
        phase,
        cold_left: time::Duration::ZERO,
    }
}

fn member(port: u16, zone: &str, ready: bool) -> hub::Member {
    hub::Member {
        callers: address(port),
        listener: None,
        zone: zone.to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        ready,
    }
}

fn poll(member: hub::Member) -> hub::FollowRequest {
    hub::FollowRequest {
        rollout_revision: 0,
        member,
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
    }
}

/// Three hubs whose batches arrive at once, except from and to partitioned hubs.
struct Site {
    log: departure_log::DepartureLog,
    /// Number of starts of hubs after the first ones.
    restarts: u64,
    hubs: Vec<hub::Hub>,
    /// Indexes of the hubs that are cut off from the others.
    partitioned: Vec<usize>,
    acknowledged: Vec<(u64, bool)>,
    replies: Vec<hub::FollowReply>,
    batches: Vec<hub::Batch>,
    /// Addresses that each hub has published.
    books: Vec<(usize, hub::AddressBook)>,
    /// Whether the hubs acknowledge like those of an earlier release.
    earlier_release: bool,
    now: time::Instant,
}

impl Site {
    fn new() -> Self {
        let contacts: Vec<_> = (1..4).map(address).collect();
        let config = hub::Config::new(time::Duration::from_millis(1_200));
        let zones = ["a", "b", "c"];
        let now = time::Instant::now();
        let make_hub = |(index, zone): (usize, &&str)| {
            let port = u16::try_from(index + 1).expect("a small number");
            let mut hub = hub::Hub::new(origin(port, zone), config, &contacts, now);
            hub.set_group(contacts.clone());
            hub
        };
        Self {
            log: departure_log::DepartureLog::new(),
            restarts: 0,
            hubs: zones.iter().enumerate().map(make_hub).collect(),
            partitioned: Vec::new(),
            acknowledged: Vec::new(),
            replies: Vec::new(),
            batches: Vec::new(),
            books: Vec::new(),
            earlier_release: false,
            now,
        }
    }

    /// Replaces hubs by new incarnations that know nothing.
    fn restart(&mut self, indexes: std::ops::Range<usize>) {
        let contacts: Vec<_> = (1..4).map(address).collect();
        let config = hub::Config::new(time::Duration::from_millis(1_200));
        self.log.restart();
        for index in indexes {
            self.restarts += 1;
            let port = u16::try_from(index + 1).expect("a small number");
            let mut restarted = origin(port, ["a", "b", "c"][index]);
            restarted.incarnation = 100 + self.restarts;
            self.hubs[index] = hub::Hub::new(restarted, config, &contacts, self.now);
        }
    }

    /// Reports a symptom of one server to the first hub, several times, `interval` milliseconds
    /// apart.
    fn observe(&mut self, symptom: hub::Symptom, times: usize, interval: u64) {
        for _ in 0..times {
            self.hubs[0].observe(vec![("s".to_owned(), symptom)], self.now);
            self.advance(interval);
        }
    }

    /// Number of outliers that a follower of the third hub receives.
    fn listed(&mut self) -> usize {
        let now = self.now;
        self.hubs[2].follow(1, poll(member(100, "c", true)), now);
        self.advance(1);
        self.replies.pop().expect("an answer").outliers.len()
    }

    fn advance(&mut self, millis: u64) {
        self.now += time::Duration::from_millis(millis);
        // A batch can cause another one; six rounds deliver all of them.
        for _ in 0..6 {
            for index in 0..self.hubs.len() {
                for action in self.hubs[index].advance(self.now, time::Duration::ZERO) {
                    self.execute(index, action);
                }
            }
        }
    }

    fn execute(&mut self, index: usize, action: hub::Action) {
        match action {
            hub::Action::Exchange { peer, batch } => {
                let other = usize::from(peer.port()) - 1;
                let lost = self.partitioned.contains(&index) || self.partitioned.contains(&other);
                let now = self.now;
                self.batches.push(batch.as_ref().clone());
                let mut ack = (!lost).then(|| self.hubs[other].receive_batch(*batch, now));
                if let Some(ack) = &mut ack {
                    ack.sightings &= !self.earlier_release;
                }
                self.hubs[index].exchange_ended(peer, ack.as_ref(), now);
            }
            hub::Action::Acknowledge { ticket, accepted } => {
                self.acknowledged.push((ticket, accepted));
            }
            hub::Action::Record { departures } => {
                let now = self.now;
                let revision = self.log.commit(departures, 0);
                self.hubs[index].record_ended(revision, now);
                for hub in &mut self.hubs {
                    hub.set_departures(self.log.table(), now);
                }
            }
            hub::Action::Reply { reply, .. } => self.replies.push(*reply),
            hub::Action::Publish(book) => self.books.push((index, book)),
        }
    }
}

/// Guards against a departure that is acknowledged although no hub knows the server.
#[test]
fn a_departure_that_comes_before_the_first_report_is_held_by_a_majority() {
    let mut site = Site::new();
    site.advance(10);
    let now = site.now;
    site.hubs[0].deregister(7, "s", Some(1), now);
    site.advance(10);
    assert_eq!(site.acknowledged, [(7, true)]);
    site.partitioned = vec![0];
    let now = site.now;
    site.hubs[1].report(8, report("s", registry::Phase::Serving, 1), now);
    site.hubs[2].follow(1, poll(member(100, "c", true)), now);
    site.advance(10);
    let reply = site.replies.pop().expect("an answer");
    let serving = |record: &&registry::Record| record.phase == registry::Phase::Serving;
    assert_eq!(reply.changes.records.iter().filter(serving).count(), 0);
}

/// Guards against an acknowledgement of a departure that names no incarnation and so holds
/// back none of the server's reports.
#[test]
fn a_departure_that_cannot_be_recorded_is_not_acknowledged() {
    let mut site = Site::new();
    site.advance(10);
    let now = site.now;
    site.hubs[0].deregister(7, "s", None, now);
    site.advance(10);
    assert_eq!(site.acknowledged, [(7, false)]);
}

/// Guards against an acknowledged departure that is lost with the only hub that received it.
#[test]
fn a_leaving_server_is_acknowledged_once_a_majority_holds_the_report() {
    let mut site = Site::new();
    site.advance(10);
    site.partitioned = vec![0];
    let now = site.now;
    site.hubs[0].report(7, report("s", registry::Phase::Leaving, 3), now);
    site.advance(100);
    assert!(
        site.acknowledged.is_empty(),
        "only one hub holds the report"
    );
    site.advance(1_000);
    assert_eq!(site.acknowledged, [(7, false)]);
    site.partitioned.clear();
    let now = site.now;
    site.hubs[0].report(8, report("s", registry::Phase::Leaving, 4), now);
    for _ in 0..3 {
        site.advance(200);
    }
    assert_eq!(site.acknowledged[1], (8, true));
}

/// Guards against entry VMs that rely on a hub without a majority, or on one
/// that lags behind the replicated log.
#[test]
fn a_partitioned_or_lagging_hub_is_not_current() {
    let mut site = Site::new();
    let document = configuration::Document {
        version: 4,
        text: "{}".into(),
    };
    for hub in &mut site.hubs {
        hub.set_document(&document);
    }
    site.advance(10);
    let now = site.now;
    site.hubs[2].follow(1, poll(member(100, "c", true)), now);
    site.advance(10);
    assert!(site.replies[0].current);
    site.partitioned = vec![2];
    site.advance(1_500);
    site.advance(1_500);
    let now = site.now;
    site.hubs[2].follow(2, poll(member(100, "c", true)), now);
    site.advance(10);
    assert!(!site.replies[1].current, "it reaches no majority");
    site.partitioned.clear();
    let newer = configuration::Document {
        version: 9,
        ..document
    };
    site.hubs[0].set_document(&newer);
    site.advance(1_100);
    site.advance(1_100);
    let now = site.now;
    site.hubs[2].follow(3, poll(member(100, "c", true)), now);
    site.advance(10);
    assert!(
        !site.replies[2].current,
        "another hub holds a newer version"
    );
}

/// Guards against changes that are delayed until the next regular batch or poll.
#[test]
fn a_change_reaches_the_follower_of_another_hub_at_once() {
    let mut site = Site::new();
    site.advance(10);
    let now = site.now;
    site.hubs[1].follow(1, poll(member(100, "b", true)), now);
    site.advance(1);
    let first = site
        .replies
        .pop()
        .expect("the first poll is answered at once");
    let now = site.now;
    let mut second = poll(member(100, "b", true));
    second.incarnation = first.incarnation;
    second.position = first.changes.position;
    second.hubs = 3;
    site.hubs[1].follow(2, second, now);
    site.advance(1);
    assert!(site.replies.is_empty(), "there is no change");
    let now = site.now;
    site.hubs[0].report(5, report("s", registry::Phase::Serving, 1), now);
    site.advance(1);
    let reply = site.replies.pop().expect("the poll is answered");
    assert_eq!(reply.changes.records.len(), 1);
}

/// Guards against callers that are sent to entry VMs which do not serve.
#[test]
fn callers_get_only_ready_and_live_entry_vms() {
    let config = hub::Config::new(time::Duration::from_millis(1_200));
    let now = time::Instant::now();
    let mut hub = hub::Hub::new(origin(1, "a"), config, &[address(1)], now);
    let now = time::Instant::now();
    let follow = |hub: &mut hub::Hub, port, ready, at| {
        hub.follow(u64::from(port), poll(member(port, "a", ready)), at);
    };
    follow(&mut hub, 101, true, now);
    follow(&mut hub, 102, false, now);
    follow(&mut hub, 103, true, now);
    let published = |actions: Vec<hub::Action>| {
        let book = actions.into_iter().rev().find_map(|action| match action {
            hub::Action::Publish(book) => Some(book),
            _ => None,
        });
        book.expect("a change of the addresses")
    };
    let query = hub::AddressQuery {
        zone: "a".to_owned(),
        region: "r".to_owned(),
    };
    let book = published(hub.advance(now, time::Duration::ZERO));
    assert_eq!(book.answer(&query), [address(101), address(103)]);
    let later = now + time::Duration::from_secs(3);
    follow(&mut hub, 103, true, later);
    let book = published(hub.advance(later, time::Duration::ZERO));
    assert_eq!(book.answer(&query), [address(103)], "101 has been silent");
}

/// Callers of a zone without entry VMs all got the addresses of one other zone.
#[test]
fn addresses_spread_over_all_entry_vms_if_there_are_too_many() {
    let members = (0..300_u16).map(|number| {
        let mut member = member(number, ["a", "b", "c"][usize::from(number / 100)], true);
        member.incarnation = u64::from(number) * 7_919;
        member
    });
    let book = hub::AddressBook {
        members: members.collect(),
    };
    let answer = |zone: &str| {
        book.answer(&hub::AddressQuery {
            zone: zone.to_owned(),
            region: "r".to_owned(),
        })
    };
    let addresses = answer("d");
    assert_eq!(addresses, answer("d"), "callers keep their connections");
    for zone in 0..3 {
        let range = zone * 100..(zone + 1) * 100;
        let listed = addresses.iter().filter(|at| range.contains(&at.port()));
        let count = listed.count();
        assert!((12..=32).contains(&count), "{count} of 64 in zone {zone}");
    }
    assert_ne!(addresses, answer("e"), "callers of other zones use others");
    let own = answer("a");
    assert_eq!(own.len(), 64);
    assert!(own.iter().all(|at| at.port() < 100), "{own:?}");
}

/// Guards against a restarted hub that never gets back the records it lost.
#[test]
fn a_restarted_hub_gets_all_records_again() {
    let mut site = Site::new();
    site.advance(10);
    let now = site.now;
    site.hubs[0].report(1, report("s", registry::Phase::Serving, 1), now);
    site.advance(10);
    site.restart(2..3);
    site.advance(1_100);
    site.advance(1_100);
    let now = site.now;
    site.hubs[2].follow(4, poll(member(100, "c", true)), now);
    site.advance(10);
    let reply = site.replies.pop().expect("an answer");
    assert_eq!(reply.changes.records.len(), 1);
}

/// A hub that has just restarted knows nothing of departures, and a heartbeat of a server
/// that left may have been on its way for long.
#[test]
fn a_restarted_hub_does_not_bring_back_a_server_that_left() {
    let mut site = Site::new();
    let now = site.now;
    site.hubs[0].report(1, report("s", registry::Phase::Serving, 1), now);
    site.advance(1_100);
    let now = site.now;
    site.hubs[0].report(2, report("s", registry::Phase::Leaving, 2), now);
    site.advance(1_100);
    site.restart(2..3);
    let now = site.now;
    site.hubs[2].report(3, report("s", registry::Phase::Serving, 1), now);
    site.advance(1_100);
    for index in 0..3 {
        assert!(serving(&mut site, index).is_empty(), "hub {index}");
    }
}

/// A hub that lists the entry VMs of another one had their records each second, most of
/// them unchanged.
#[test]
fn hubs_repeat_no_records_of_entry_vms_that_have_not_changed() {
    let mut site = Site::new();
    site.advance(10);
    let poll_and_count = |site: &mut Site, ready| {
        let now = site.now;
        site.hubs[0].follow(5, poll(member(100, "a", ready)), now);
        site.batches.clear();
        site.advance(1_050);
        let batches = site.batches.iter().filter(|batch| batch.from.zone == "a");
        batches.map(|batch| batch.members.len()).sum::<usize>()
    };
    assert_eq!(poll_and_count(&mut site, false), 2, "one to each other hub");
    for _ in 0..5 {
        assert_eq!(poll_and_count(&mut site, false), 0, "it is only seen");
    }
    assert_eq!(poll_and_count(&mut site, true), 2, "it has become ready");
    assert_eq!(poll_and_count(&mut site, true), 0);
    // The others still list it as live.
    let book = site.books.iter().rev().find(|(hub, _)| *hub == 2);
    let (_, book) = book.expect("the third hub has published addresses");
    assert_eq!(book.members.len(), 1);
}

/// Guards against a restarted hub that knows entry VMs by their sightings only.
#[test]
fn a_restarted_hub_gets_the_records_of_all_entry_vms_again() {
    let mut site = Site::new();
    for _ in 0..3 {
        let now = site.now;
        site.hubs[0].follow(5, poll(member(100, "a", true)), now);
        site.advance(1_050);
    }
    site.restart(2..3);
    site.books.clear();
    for _ in 0..2 {
        let now = site.now;
        site.hubs[0].follow(5, poll(member(100, "a", true)), now);
        site.advance(1_050);
    }
    let book = site.books.iter().rev().find(|(hub, _)| *hub == 2);
    let (_, book) = book.expect("it has published addresses");
    assert_eq!(book.members.len(), 1);
}

/// A hub that was cut off for a minute has forgotten entry VMs, whose sightings alone would
/// not bring them back.
#[test]
fn a_hub_that_was_cut_off_for_long_gets_the_records_of_all_entry_vms_again() {
    let mut site = Site::new();
    for second in 0..75 {
        site.partitioned = match second {
            3..70 => vec![2],
            _ => Vec::new(),
        };
        let now = site.now;
        site.hubs[0].follow(5, poll(member(100, "a", true)), now);
        site.hubs[2].follow(6, poll(member(101, "c", true)), now);
        site.advance(1_000);
    }
    for (number, name) in ["first", "second", "third"].iter().enumerate() {
        let book = site.books.iter().rev().find(|(hub, _)| *hub == number);
        let (_, book) = book.expect("it has published addresses");
        assert_eq!(book.members.len(), 2, "the {name} hub");
    }
}

/// Guards against an earlier release that lists only the entry VMs whose records it gets.
#[test]
fn a_hub_that_expects_records_gets_them_with_each_regular_batch() {
    let mut site = Site::new();
    site.earlier_release = true;
    site.advance(10);
    for _ in 0..3 {
        let now = site.now;
        site.hubs[0].follow(5, poll(member(100, "a", true)), now);
        site.batches.clear();
        site.advance(1_050);
        let records = site.batches.iter().map(|batch| batch.members.len());
        assert_eq!(records.sum::<usize>(), 2);
    }
}

/// Guards against entry VMs that must each detect a slow server by themselves, and
/// against a server that is listed for all of them after a short pause.
#[test]
fn a_server_that_stays_slow_is_listed_by_all_hubs() {
    let mut site = Site::new();
    site.advance(10);
    site.observe(hub::Symptom::Overdue, 18, 5);
    site.advance(1_100);
    assert_eq!(site.listed(), 0, "a pause of 85 ms");
    site.observe(hub::Symptom::Overdue, 18, 15);
    site.advance(1_000);
    assert_eq!(site.listed(), 1);
    for _ in 0..6 {
        site.advance(1_000);
    }
    assert_eq!(
        site.listed(),
        0,
        "it is removed from the list, to be tried again"
    );
}

/// Guards against a slow server that is never listed because the hub of a large
/// site receives reports about it only every 80 ms.
#[test]
fn a_slow_server_of_a_large_site_is_listed() {
    let mut site = Site::new();
    site.observe(hub::Symptom::Overdue, 4, 80);
    assert_eq!(site.listed(), 1);
}

/// A single report to one hub kept a server off its list although another hub listed it.
#[test]
fn one_report_does_not_keep_a_server_off_the_list_of_other_hubs() {
    let mut site = Site::new();
    site.hubs[2].observe(vec![("s".to_owned(), hub::Symptom::Overdue)], site.now);
    site.observe(hub::Symptom::Overdue, 6, 80);
    site.advance(100);
    assert_eq!(site.listed(), 1);
}

/// Guards against a server that is listed for a short pause and a few unrelated
/// overdue attempts after it: a fast answer or a gap in the reports ends a series.
#[test]
fn a_server_that_recovers_between_reports_is_not_listed() {
    for recovers in [true, false] {
        let mut site = Site::new();
        site.observe(hub::Symptom::Overdue, 4, 30);
        if recovers {
            site.observe(hub::Symptom::Recovered, 1, 90);
        } else {
            site.advance(290);
        }
        site.observe(hub::Symptom::Overdue, 1, 10);
        assert_eq!(site.listed(), 0, "recovers: {recovers}");
    }
}

/// Serving servers of `shard-1` that a follower of hub `index` receives.
fn serving(site: &mut Site, index: usize) -> Vec<String> {
    let now = site.now;
    site.hubs[index].follow(9, poll(member(100, "c", true)), now);
    site.advance(1);
    let records = site.replies.pop().expect("an answer").changes.records;
    let serving = records
        .into_iter()
        .filter(|record| record.phase == registry::Phase::Serving);
    serving.map(|record| record.server).collect()
}

/// Three hubs that know the servers `s1` to `s3`, each of incarnation 1.
fn site_with_three_servers() -> Site {
    let mut site = Site::new();
    site.advance(10);
    for (number, server) in (1..).zip(["s1", "s2", "s3"]) {
        let mut serving = report(server, registry::Phase::Serving, 1);
        serving.address = address(9_000 + number);
        let now = site.now;
        site.hubs[0].report(u64::from(number), serving, now);
    }
    site.advance(10);
    site
}

fn observe_leaving(site: &mut Site, hub: usize, server: &str, born: u64) {
    let observation = (server.to_owned(), hub::Symptom::Leaving { born });
    let now = site.now;
    site.hubs[hub].observe(vec![observation], now);
}

/// Guards against requests to a server that has told one entry VM that it leaves, also after
/// a late heartbeat which says that it is ready.
#[test]
fn a_departure_that_one_entry_vm_was_told_of_reaches_all() {
    let mut site = site_with_three_servers();
    observe_leaving(&mut site, 1, "s2", 1);
    site.advance(10);
    let mut late = report("s2", registry::Phase::Serving, 5);
    late.address = address(9_002);
    let now = site.now;
    site.hubs[0].report(8, late.clone(), now);
    site.advance(10);
    for hub in 0..3 {
        assert_eq!(serving(&mut site, hub), ["s1", "s3"]);
    }
    late.born = 2;
    let now = site.now;
    site.hubs[0].report(9, late, now);
    site.advance(10);
    assert_eq!(serving(&mut site, 2), ["s1", "s2", "s3"]);
}

/// Guards against a statement of a former incarnation that takes out the next one, and
/// against entry VMs that report all servers of a service at once, each to another hub.
#[test]
fn stale_and_false_departures_do_not_empty_a_service() {
    let mut site = site_with_three_servers();
    observe_leaving(&mut site, 0, "s2", 0);
    observe_leaving(&mut site, 0, "unknown", 1);
    site.advance(10);
    assert_eq!(serving(&mut site, 1), ["s1", "s2", "s3"]);
    for (hub, server) in ["s3", "s1", "s2"].into_iter().enumerate() {
        observe_leaving(&mut site, hub, server, 1);
    }
    site.advance(10);
    for hub in 0..3 {
        assert_eq!(serving(&mut site, hub), ["s1"]);
    }
}

/// Guards against records that are sent to entry VMs which only look for a current hub.
#[test]
fn a_poll_without_records_gets_only_the_state_of_the_hub() {
    let mut site = site_with_three_servers();
    site.observe(hub::Symptom::Failed, 3, 110);
    let now = site.now;
    let mut light = poll(member(100, "b", true));
    light.records = false;
    site.hubs[0].follow(3, light.clone(), now);
    site.advance(1);
    let reply = site.replies.pop().expect("an answer");
    assert!(reply.changes.records.is_empty() && reply.outliers.is_empty());
    light.incarnation = reply.incarnation;
    light.hubs = 3;
    site.hubs[0].follow(4, light, now);
    site.advance(1);
    let reply = site.replies.pop().expect("an answer");
    assert_eq!(
        reply.changes.records.len(),
        3,
        "differences to a known position"
    );
}

/// Guards against requests to servers that are known to fail.
#[test]
fn a_server_that_fails_is_listed_after_few_failures() {
    let mut site = Site::new();
    site.observe(hub::Symptom::Failed, 3, 110);
    assert_eq!(site.listed(), 1);
}

fn gathering_member(port: u16, zone: &str) -> hub::Member {
    hub::Member {
        listener: Some(address(port + 2_000)),
        incarnation: u64::from(port),
        ..member(port, zone, true)
    }
}

/// Lists of entry VMs that grow with the site cost each of them bytes, and a VM that has left
/// must not be asked to gather.
#[test]
fn an_entry_vm_gets_a_few_others_of_each_zone_and_only_changes_of_them() {
    let mut site = Site::new();
    let ports: Vec<_> = (100..130).collect();
    let zone = |port: u16| ["a", "b", "c"][usize::from(port) % 3];
    let follow = |site: &mut Site, port: u16, ready: bool, known: Option<&[hub::Delegate]>| {
        let member = hub::Member {
            ready,
            ..gathering_member(port, zone(port))
        };
        let request = hub::FollowRequest {
            delegates: known.map(hub::Delegate::checksum),
            ..poll(member)
        };
        let now = site.now;
        site.hubs[0].follow(u64::from(port), request, now);
        site.advance(1);
        let reply = site.replies.pop().expect("an answer");
        reply.delegates
    };
    for port in &ports {
        follow(&mut site, *port, true, None);
    }
    assert_eq!(follow(&mut site, 100, true, None), None, "it wants none");
    let delegates = follow(&mut site, 100, true, Some(&[])).expect("a list");
    let count = |name: &str| delegates.iter().filter(|other| other.zone == name).count();
    assert_eq!([count("a"), count("b"), count("c")], [4, 4, 4]);
    let own = gathering_member(100, "b").listener;
    assert!(delegates.iter().all(|other| Some(other.listener) != own));
    let unchanged = follow(&mut site, 100, true, Some(&delegates));
    assert_eq!(unchanged, None, "it has them already");

    let leaving = u16::try_from(delegates[0].incarnation).expect("a port");
    follow(&mut site, leaving, false, None);
    let changed = follow(&mut site, 100, true, Some(&delegates)).expect("a change");
    assert!(!changed.contains(&delegates[0]), "it is leaving");
    let kept = changed.iter().filter(|other| delegates.contains(other));
    assert_eq!(kept.count(), 11, "the others stay");
}

/// Servers that the follower of a hub may use, as in the first poll of an entry VM.
fn all_serving(site: &mut Site) -> Vec<Vec<String>> {
    (0..3).map(|hub| serving(site, hub)).collect()
}

/// Guards against an acknowledged departure that only memory holds: all control VMs are killed
/// after it, and a heartbeat that was delayed is the first that they hear of the server.
#[test]
fn an_acknowledged_departure_outlives_all_control_vms() {
    for deregisters in [true, false] {
        let mut site = site_with_three_servers();
        let now = site.now;
        match deregisters {
            true => site.hubs[0].deregister(7, "s2", None, now),
            false => site.hubs[0].report(7, report("s2", registry::Phase::Leaving, 9), now),
        }
        site.advance(10);
        assert_eq!(site.acknowledged.last(), Some(&(7, true)));
        for late_at in 0..3 {
            site.restart(0..3);
            for (number, server) in (1..).zip(["s1", "s2", "s3"]) {
                let mut late = report(server, registry::Phase::Serving, 2);
                late.address = address(9_000 + number);
                let now = site.now;
                site.hubs[late_at].report(u64::from(number), late, now);
            }
            site.advance(10);
            let seen = all_serving(&mut site);
            assert!(seen.iter().all(|seen| *seen == ["s1", "s3"]), "{seen:?}");
        }
        let mut next = report("s2", registry::Phase::Serving, 1);
        (next.born, next.address) = (2, address(9_002));
        let now = site.now;
        site.hubs[1].report(8, next, now);
        site.advance(10);
        assert_eq!(serving(&mut site, 2), ["s1", "s2", "s3"], "its next start");
    }
}

/// Guards against a control VM that comes back first or alone and puts servers into use before
/// it knows which have left.
#[test]
fn a_hub_lists_no_server_as_serving_before_it_has_recovered() {
    let mut site = site_with_three_servers();
    let document = configuration::Document {
        version: 4,
        text: "{}".into(),
    };
    site.log.has_leader = false;
    site.restart(0..3);
    for hub in &mut site.hubs {
        hub.set_document(&document);
    }
    let now = site.now;
    site.hubs[0].report(1, report("s2", registry::Phase::Serving, 2), now);
    let mut leaving = report("s3", registry::Phase::Leaving, 3);
    leaving.address = address(9_003);
    site.hubs[0].report(2, leaving, now);
    site.advance(10);
    site.hubs[0].follow(9, poll(member(100, "c", true)), site.now);
    site.advance(10);
    let reply = site.replies.pop().expect("an answer");
    let phases: Vec<_> = reply
        .changes
        .records
        .iter()
        .map(|record| record.phase)
        .collect();
    assert_eq!(phases, [registry::Phase::Leaving], "departures take effect");
    assert!(!reply.current && !site.hubs[0].has_recovered());
    site.log.has_leader = true;
    site.advance(200);
    assert!(site.hubs[0].has_recovered());
    assert_eq!(serving(&mut site, 0), ["s2"]);
}

/// Guards against an acknowledgement while the log cannot hold the departure, and against a
/// departure that takes no effect meanwhile.
#[test]
fn a_departure_without_a_leader_takes_effect_and_is_not_acknowledged() {
    let mut site = site_with_three_servers();
    site.log.has_leader = false;
    let now = site.now;
    site.hubs[0].deregister(7, "s2", Some(1), now);
    site.advance(10);
    let seen = all_serving(&mut site);
    assert!(seen.iter().all(|seen| *seen == ["s1", "s3"]), "{seen:?}");
    let others: Vec<_> = site.acknowledged.drain(..).collect();
    assert!(others.iter().all(|(ticket, _)| *ticket != 7));
    site.advance(1_000);
    assert_eq!(site.acknowledged, [(7, false)]);
    site.log.has_leader = true;
    let now = site.now;
    site.hubs[1].deregister(8, "s2", Some(1), now);
    site.advance(200);
    assert_eq!(site.acknowledged[1], (8, true), "sent again to another hub");
}

/// Guards against a write for each heartbeat of a draining server, and against one for each
/// server of a zone that leaves at the same moment.
#[test]
fn departures_share_commands_and_are_written_once() {
    let mut site = Site::new();
    site.advance(10);
    let leaving = |number: u16, sequence| {
        let mut report = report(&format!("s{number}"), registry::Phase::Leaving, sequence);
        report.address = address(10_000 + number);
        report
    };
    for sequence in 1..4 {
        for number in 0..900 {
            let now = site.now;
            let ticket = u64::from(number);
            site.hubs[0].report(ticket, leaving(number, sequence), now);
        }
        site.advance(10);
        assert_eq!(site.acknowledged.len(), 900);
        assert!(site.acknowledged.drain(..).all(|(_, accepted)| accepted));
    }
    assert_eq!(site.log.written, 2, "at most 512 departures in a command");
}

/// Guards against a report of an earlier incarnation that comes back because a later one left.
#[test]
fn the_departure_of_a_later_incarnation_covers_the_earlier_ones() {
    let mut site = site_with_three_servers();
    let now = site.now;
    site.hubs[0].deregister(7, "s2", Some(5), now);
    site.advance(10);
    site.restart(0..3);
    for born in [1, 5] {
        let mut late = report("s2", registry::Phase::Serving, 50);
        late.born = born;
        let now = site.now;
        site.hubs[1].report(born, late, now);
    }
    site.advance(10);
    let seen = all_serving(&mut site);
    assert!(seen.iter().all(Vec::is_empty), "{seen:?}");
}

/// End of the log of the control VM on a port.
fn log_of(port: u16, voters: &[u64], version: u64) -> hub::LogState {
    let node = u64::from(port);
    hub::LogState {
        tail: hub::LogTail {
            node,
            members: voters.iter().sum(),
            version,
        },
        voters: voters.to_vec(),
        votes: voters.contains(&node),
    }
}

/// Age of the evidence that a follower of a hub receives.
fn evidence_of(site: &mut Site, index: usize) -> Option<u64> {
    let now = site.now;
    site.hubs[index].follow(1, poll(member(100, "c", true)), now);
    site.advance(1);
    site.replies.pop().expect("an answer").evidence_ms
}

/// Guards against evidence of a hub that has none: one that is alone in a larger group, has just
/// started, is no member or misses a configuration, and against a hub that never has any.
#[test]
fn a_hub_has_evidence_once_a_majority_confirms_its_configuration() {
    let mut site = Site::new();
    let set = |site: &mut Site, voters: &[u64], versions: [u64; 3]| {
        for (index, version) in (0..3).zip(versions) {
            let log = log_of(index as u16 + 1, voters, version);
            site.hubs[index].set_log(Some(log));
        }
        site.advance(1_100);
    };
    assert_eq!(evidence_of(&mut site, 0), None, "no log");
    set(&mut site, &[1, 2, 3], [0; 3]);
    assert!(evidence_of(&mut site, 0).is_some());
    // Another VM holds a newer configuration, committed or not.
    set(&mut site, &[1, 2, 3], [0, 7, 0]);
    assert!(
        evidence_of(&mut site, 0).is_some(),
        "two of three are a majority"
    );
    set(&mut site, &[1, 2, 3], [7, 7, 0]);
    assert_eq!(
        evidence_of(&mut site, 0),
        None,
        "the hub has not applied version 7"
    );
    let document = configuration::Document {
        version: 7,
        text: "".into(),
    };
    site.hubs[0].set_document(&document);
    assert!(evidence_of(&mut site, 0).is_some());
    // Its own log is replaced by one that lacks the entry.
    set(&mut site, &[1, 2, 3], [0; 3]);
    assert!(
        evidence_of(&mut site, 1).is_some(),
        "an overwritten entry does not count"
    );
    // A group of one, seen by its member and by another VM.
    set(&mut site, &[2], [0; 3]);
    assert!(evidence_of(&mut site, 1).is_some());
    assert!(
        evidence_of(&mut site, 2).is_some(),
        "a VM that does not vote asks the voter"
    );
    // A member list that no other log ends with.
    let alone = log_of(3, &[1, 3, 4], 0);
    site.hubs[2].set_log(Some(alone));
    site.advance(1_100);
    assert_eq!(evidence_of(&mut site, 2), None);
    set(&mut site, &[1, 2, 3], [0; 3]);
    site.partitioned = vec![2];
    site.restart(2..3);
    site.hubs[2].set_log(Some(log_of(3, &[1, 2, 3], 0)));
    assert_eq!(evidence_of(&mut site, 2), None, "it has just started");
}

/// Guards against messages between releases that cannot be read.
#[test]
fn messages_of_earlier_releases_carry_no_evidence() {
    let ack: hub::Ack = serde_json::from_str(r#"{"incarnation":1}"#).expect("it decodes");
    assert_eq!(ack.log, None);
    let mut site = Site::new();
    assert_eq!(evidence_of(&mut site, 0), None);
    let now = site.now;
    site.hubs[0].follow(1, poll(member(100, "c", true)), now);
    site.advance(1);
    let reply = site.replies.pop().expect("an answer");
    let text = serde_json::to_string(&reply).expect("it encodes");
    assert!(!text.contains("evidence"), "{text}");
    let read: hub::FollowReply = serde_json::from_str(&text).expect("it decodes");
    assert_eq!(read, reply);
}

//! Holders and leaders together, with and without faults.

mod common;
#[path = "common/site.rs"]
mod site;

use fireflyspool::{backend, lease, roster, state};

/// Guards against two processes that act on one backend server, a catalog revision that goes
/// back or is in force too early, and older incarnations that return. Once the faults end,
/// the latest revision must be in force and all backend servers must have an owner.
#[test]
fn leases_are_exclusive_under_faults() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut site = site::Site::new(4, 6);
        while !script.is_exhausted() {
            site.step(&mut script);
        }
        site.settle(&mut script, site::millis(20_000));
        check_quiescent(&site);
        true
    }
    common::check(20, 10, 6_000, property);
}

fn check_quiescent(site: &site::Site) {
    let revision = site.control.catalog.revision;
    let leader = site.leader.as_ref().expect("elections have ended");
    assert_eq!(leader.in_force(revision, site.now), roster::InForce::Yes);
    let records: Vec<_> = leader.servers().collect();
    assert_eq!(
        records.len(),
        site.servers.len(),
        "an announced server is missing"
    );
    let usable = leader.members().filter(|member| !member.leaving).count();
    for record in &records {
        let out = site.control.catalog.is_zone_out(&record.announcement.zone);
        let owned = usable > 0 && !out;
        assert_eq!(record.owner.is_some(), owned, "{record:?}");
    }
    for process in site.live() {
        assert!(process.view.may_act(site.now), "no lease after the faults");
        assert_eq!(*process.view.catalog, site.control.catalog);
        assert!(process.holder.to_release().is_empty());
        let shown: Vec<_> = process.view.servers.values().collect();
        for (shown, record) in shown.iter().zip(&records) {
            assert_eq!(shown.owner, record.owner);
            assert_eq!(shown.announcement.phase, record.announcement.phase);
        }
        assert_eq!(shown.len(), records.len());
        assert_eq!(process.view.members.len(), leader.members().count());
    }
}

/// Guards against a lease for a catalog revision or roster that the holder does not have.
#[test]
fn a_gap_extends_no_lease_and_requests_a_whole_update() {
    let now = std::time::Instant::now();
    let mut holder = lease::Holder::new(site::member(1, 1), lease::Config::default());
    let mut leader = roster::Roster::new(1, now, roster::Config::default());
    let control = state::ControlState::default();
    let request = holder.request(now);
    let mut grant = leader.renew(&request, &control, now);
    let change = state::Change::TakeOutZone {
        zone: "z1".to_owned(),
    };
    grant.revision = 5;
    grant.catalog = Some(roster::CatalogUpdate::Changes(vec![change]));
    let effect = holder.reply(roster::RenewReply::Granted(grant), now, now);
    assert!(!holder.view().may_act(now));
    assert!(effect.renew);
    let request = holder.request(now);
    assert!(request.whole_catalog);

    let mut grant = leader.renew(&request, &control, now);
    grant.roster.base = 7;
    grant.roster.version.sequence = 8;
    let effect = holder.reply(roster::RenewReply::Granted(grant), now, now);
    assert!(!holder.view().may_act(now));
    assert!(effect.renew);
    let request = holder.request(now);
    assert_eq!(request.roster, None);
    let grant = leader.renew(&request, &control, now);
    holder.reply(roster::RenewReply::Granted(grant), now, now);
    assert!(holder.view().may_act(now));
}

/// Guards against a delayed request that withdraws a claim of a later one: the backend server
/// would be assigned while the sender still holds it.
#[test]
fn a_delayed_request_does_not_withdraw_a_later_claim() {
    let start = std::time::Instant::now();
    let mut leader = roster::Roster::new(2, start, roster::Config::default());
    let control = state::ControlState::default();
    let server = site::announcement(0);
    let mut other = lease::Holder::new(site::member(2, 1), lease::Config::default());
    other.handle_announcement(&server, start);
    let mut early = lease::Holder::new(site::member(1, 1), lease::Config::default()).request(start);
    early.roster = Some(roster::Version {
        term: 1,
        sequence: 3,
    });
    let mut later = early.clone();
    later.number = 2;
    later.holds = vec![server.server.clone()];
    let received_at = start + site::millis(2_900);
    for request in [&later, &early] {
        leader.renew(request, &control, received_at);
    }
    let settled = start + site::millis(3_100);
    let request = other.request(settled);
    leader.renew(&request, &control, settled);
    let owners: Vec<_> = leader.servers().map(|record| record.owner).collect();
    assert_eq!(owners, [None]);
    // The claim expires with the lease of the process that made it.
    let expired = received_at + roster::LEASE_DURATION;
    other.handle_announcement(
        &backend::Announcement {
            sequence: 9,
            ..server
        },
        expired,
    );
    leader.renew(&other.request(expired), &control, expired);
    let owners: Vec<_> = leader.servers().map(|record| record.owner).collect();
    assert_eq!(owners, [Some(2)]);
}

/// Guards against a new leader that confirms a delayed report of an earlier term: its sender
/// would be published as owner while another process still acts on the backend server.
#[test]
fn a_first_report_of_a_new_term_is_not_confirmed() {
    let start = std::time::Instant::now();
    let mut leader = roster::Roster::new(2, start, roster::Config::default());
    let control = state::ControlState::default();
    let server = site::announcement(0);
    let mut reporter = lease::Holder::new(site::member(3, 1), lease::Config::default());
    reporter.handle_announcement(&server, start);
    leader.renew(&reporter.request(start), &control, start);
    let earlier = roster::Version {
        term: 1,
        sequence: 3,
    };
    let owners = |leader: &roster::Roster| -> Vec<Option<u64>> {
        leader.servers().map(|record| record.owner).collect()
    };
    let mut requests = [1, 2].map(|node| {
        let mut holder = lease::Holder::new(site::member(node, 1), lease::Config::default());
        let mut request = holder.request(start);
        request.holds = vec![server.server.clone()];
        request.roster = Some(earlier);
        request
    });
    for request in &requests {
        leader.renew(request, &control, start);
        assert_eq!(owners(&leader), [None]);
    }
    // Only the process that has read a reply of this term is known to hold it now.
    let holder = &mut requests[1];
    holder.number += 1;
    holder.roster = Some(leader.version());
    leader.renew(holder, &control, start);
    assert_eq!(owners(&leader), [Some(2)]);
}

/// Guards against a whole roster, older than the local copy, that drops records added since.
#[test]
fn a_whole_roster_older_than_the_held_one_is_ignored() {
    let now = std::time::Instant::now();
    let mut leader = roster::Roster::new(1, now, roster::Config::default());
    let control = state::ControlState::default();
    let mut holder = lease::Holder::new(site::member(1, 1), lease::Config::default());
    let (first, second) = (holder.request(now), holder.request(now));
    leader.expire(now + roster::LEASE_DURATION);
    let now = now + roster::LEASE_DURATION;
    // The second request overtakes the first, and a member joins between the replies.
    let older = leader.renew(&second, &control, now);
    let mut joined = lease::Holder::new(site::member(2, 1), lease::Config::default());
    leader.renew(&joined.request(now), &control, now);
    let newer = leader.renew(&first, &control, now);
    for grant in [newer, older] {
        holder.reply(roster::RenewReply::Granted(grant), now, now);
        assert_eq!(holder.view().members.len(), 2);
    }
}

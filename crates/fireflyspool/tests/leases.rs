//! Holders and leaders together, under faults.

mod common;
#[path = "common/site.rs"]
mod site;

use fireflyspool::roster;

/// Guards against two processes that act on one backend server, a configuration that goes
/// back or counts as in force too early, and returning incarnations; afterwards the site
/// must come to rest with everything in force and owned.
#[test]
fn leases_exclude_each_other_under_faults() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut site = site::Site::new(4, 6);
        while !script.is_exhausted() {
            site.step(&mut script);
        }
        site.settle(&mut script, site::millis(20_000));
        check_rest(&site);
        true
    }
    common::check(20, 10, 6_000, property);
}

fn check_rest(site: &site::Site) {
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
        assert!(process.view.may_act(site.now), "no lease at rest");
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

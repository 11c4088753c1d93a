//! Choice of owners: balance, stability and number of moves.

#[path = "common/fleet.rs"]
mod fleet;

use fireflyspool::{roster, state};

/// Guards against an uneven or unstable choice: a join may move about one share, a departure
/// only what the departed member owned, and shares within a zone differ by one at most.
#[test]
fn joins_and_departures_move_one_share() {
    for (members, servers, zones) in [(15, 81, 3), (100, 540, 4)] {
        let mut fleet = fleet::Fleet::new(members, servers, zones);
        fleet.rounds(8);
        let start = fleet.owners();
        assert!(start.iter().all(Option::is_some));
        let share = servers.div_ceil(members) as usize;
        let (least, most) = fleet.shares();
        assert!(
            most <= share + 1 && least + 2 >= share,
            "{least} to {most} of {share}"
        );

        fleet.join(members + 1);
        fleet.rounds(40);
        let joined = fleet.owners();
        let moved = fleet::moved(&start, &joined);
        // The zone of the new member has one member more than the others.
        let fair = (servers / (members + zones)) as usize;
        assert!(
            (fair..=fair + 1).contains(&moved),
            "{moved} move on a join, expected about {fair}"
        );
        let joiner_owns = |owner: &&Option<u64>| **owner == Some(members + 1);
        assert_eq!(joined.iter().filter(joiner_owns).count(), moved);

        fleet
            .holders
            .last_mut()
            .expect("the new member")
            .set_leaving();
        fleet.rounds(40);
        let left = fleet.owners();
        assert!(left.iter().all(Option::is_some));
        assert!(
            !left.contains(&Some(members + 1)),
            "a leaving member owns a backend server"
        );
        assert_eq!(
            fleet::moved(&joined, &left),
            moved,
            "only the departed share moves"
        );
    }
}

/// Guards against backend servers of a failed member that stay without an owner, and against
/// ones that are reassigned while the lease of that member may be valid.
#[test]
fn a_failed_member_is_replaced_after_its_lease_expires() {
    let mut fleet = fleet::Fleet::new(6, 36, 2);
    fleet.rounds(8);
    let before = fleet.owners();
    let failed = fleet.holders.remove(0);
    let until = failed.view().lease_until.expect("a lease");
    loop {
        fleet.round();
        let owners = fleet.owners();
        if fleet.now < until {
            assert_eq!(owners, before);
        } else if !owners.contains(&Some(1)) {
            assert!(owners.iter().all(Option::is_some));
            assert!(fleet.now <= until + roster::RENEWAL_INTERVAL);
            break;
        }
    }
    let owned = before.iter().filter(|owner| **owner == Some(1)).count();
    assert_eq!(fleet::moved(&before, &fleet.owners()), owned);
}

/// Guards against one member that owns several replicas of a shard although others could
/// own them.
#[test]
fn replicas_of_a_shard_get_different_owners() {
    // All replicas in one zone, so that only the choice of owners separates them.
    let mut fleet = fleet::Fleet::new(9, 90, 1);
    fleet.rounds(8);
    let owners = fleet.owners();
    let sharing = owners
        .chunks(3)
        .filter(|shard| shard[0] == shard[1] || shard[1] == shard[2] || shard[0] == shard[2]);
    assert!(sharing.count() <= 1, "replicas share owners: {owners:?}");
}

/// Guards against a zone that keeps work while it is taken out, or gets none when it is
/// brought back.
#[test]
fn a_zone_taken_out_owns_nothing_until_brought_back() {
    let mut fleet = fleet::Fleet::new(9, 54, 3);
    fleet.rounds(8);
    let before = fleet.owners();
    let zone = "z1".to_owned();
    fleet.command(1, state::Change::TakeOutZone { zone: zone.clone() });
    fleet.rounds(3);
    for record in fleet.leader.servers() {
        let out = record.announcement.zone == zone;
        assert_eq!(record.owner.is_none(), out, "{record:?}");
        assert!(record.owner.is_none_or(|node| node % 3 != 1));
    }
    fleet.command(2, state::Change::BringBackZone { zone });
    fleet.rounds(6);
    let after = fleet.owners();
    assert!(after.iter().all(Option::is_some));
    let unaffected = before
        .iter()
        .zip(&after)
        .filter(|(owner, _)| owner.is_some_and(|node| node % 3 != 1));
    assert!(unaffected.clone().count() > 0);
    assert!(
        unaffected
            .into_iter()
            .all(|(before, after)| before == after)
    );
    assert_eq!(fleet.shares(), (6, 6));
}

/// Guards against backend servers without an owner because their zone has no entry VM, and
/// against owners of other zones that keep them once it has one.
#[test]
fn a_zone_without_members_is_served_from_others() {
    let mut fleet = fleet::Fleet::new(2, 30, 3);
    fleet.rounds(8);
    assert!(fleet.owners().iter().all(Option::is_some));
    fleet.join(3);
    fleet.rounds(60);
    for record in fleet.leader.servers() {
        let zone = record.owner.map(|node| format!("z{}", node % 3));
        assert_eq!(zone.as_ref(), Some(&record.announcement.zone));
    }
}

/// Guards against a crash that is counted twice, and against a suspect that is lost or kept
/// forever.
#[test]
fn suspects_are_counted_published_and_expire() {
    let mut fleet = fleet::Fleet::new(3, 6, 3);
    fleet.rounds(5);
    for index in [0, 1] {
        fleet.holders[index].report_crash(77, "award-ledger-0001", 5);
    }
    fleet.holders[2].report_crash(77, "award-ledger-0002", 5);
    fleet.rounds(3);
    for holder in &fleet.holders {
        assert_eq!(holder.view().suspects.get(&77), Some(&2));
    }
    // A new leader learns the count from the holders.
    let config = roster::Config::default();
    fleet.leader = roster::Roster::new(2, fleet.now, config);
    fleet.rounds(6);
    for holder in &fleet.holders {
        assert_eq!(holder.view().suspects.get(&77), Some(&2));
    }
    fleet.rounds(config.suspect_retention.as_secs() as usize + 5);
    for holder in &fleet.holders {
        assert!(holder.view().suspects.is_empty());
    }
}

/// Guards against owners that change, or views that lose their backend servers, because
/// the leader changed.
#[test]
fn a_change_of_leader_moves_nothing() {
    let mut fleet = fleet::Fleet::new(9, 54, 3);
    fleet.rounds(8);
    let before = fleet.owners();
    fleet.leader = roster::Roster::new(2, fleet.now, roster::Config::default());
    for _ in 0..8 {
        fleet.round();
        for holder in &fleet.holders {
            let view = holder.view();
            let owners: Vec<_> = view.servers.values().map(|record| record.owner).collect();
            assert_eq!(owners, before);
            assert!(view.may_act(fleet.now));
        }
    }
    assert_eq!(fleet.owners(), before);
}

/// Prints message sizes, processor time and moves; run with
/// `cargo test --release -p fireflyspool --test ownership -- --ignored --nocapture`.
#[test]
#[ignore = "measurement"]
fn measure_renewals() {
    for (members, servers, zones) in [
        (16, 86, 3),
        (100, 540, 4),
        (300, 1_620, 6),
        (1_000, 5_400, 6),
    ] {
        let mut fleet = fleet::Fleet::new(members, servers, zones);
        fleet.rounds(8);
        let (start, shares) = (fleet.owners(), fleet.shares());
        let rounds = 10;
        fleet.leader_time = std::time::Duration::ZERO;
        fleet.rounds(rounds);
        let steady = fleet.leader_time / (rounds as u32 * members as u32);
        println!(
            "{members} members, {servers} backend servers: steady request {} B, grant {} B, \
             leader {steady:?} per renewal",
            fleet.request_bytes, fleet.grant_bytes
        );
        let key = "queue-limit".to_owned();
        fleet.command(
            1,
            state::Change::SetValue {
                key,
                value: "300".to_owned(),
            },
        );
        fleet.renew(0);
        println!("  one catalog change: grant {} B", fleet.grant_bytes);
        fleet.servers[0].incarnation += 1;
        let changed = fleet.servers[0].clone();
        let now = fleet.now;
        fleet.holders[0].handle_announcement(&changed, now);
        fleet.renew(0);
        println!(
            "  one restarted backend server: request {} B, grant {} B",
            fleet.request_bytes, fleet.grant_bytes
        );
        fleet.join(members + 1);
        fleet.leader_time = std::time::Duration::ZERO;
        fleet.renew(members as usize);
        println!(
            "  join: grant {} B, leader {:?}",
            fleet.grant_bytes, fleet.leader_time
        );
        fleet.leader_time = std::time::Duration::ZERO;
        fleet.rounds(40);
        let joined = fleet.owners();
        let renewals = 40 * (members as u32 + 1);
        println!(
            "  shares before {shares:?}, after the join {:?}, moved {}; leader {:?} per renewal",
            fleet.shares(),
            fleet::moved(&start, &joined),
            fleet.leader_time / renewals
        );
        fleet.holders.remove(0);
        fleet.rounds(12);
        let left = fleet.owners();
        println!(
            "  failure of a member: moved {}, shares {:?}",
            fleet::moved(&joined, &left),
            fleet.shares()
        );
    }
}

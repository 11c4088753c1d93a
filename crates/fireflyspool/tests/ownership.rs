//! Choice of owners: balance, stability and number of moves.

#[path = "common/cluster.rs"]
mod cluster;

use fireflyspool::{roster, state};

/// Guards against an uneven or unstable choice: a join may move about one share, a departure
/// only what the departed member owned, and shares within a zone differ by one at most.
#[test]
fn joins_and_departures_move_one_share() {
    for (members, servers, zones) in [(15, 81, 3), (100, 540, 4)] {
        let mut cluster = cluster::Cluster::new(members, servers, zones);
        cluster.rounds(8);
        let start = cluster.owners();
        assert!(start.iter().all(Option::is_some));
        let share = servers.div_ceil(members) as usize;
        let (least, most) = cluster.share_range();
        assert!(
            most <= share + 1 && least + 2 >= share,
            "{least} to {most} of {share}"
        );

        cluster.join(members + 1);
        cluster.rounds(40);
        let joined = cluster.owners();
        let moved = cluster::count_moved(&start, &joined);
        // The zone of the new member has one member more than the others.
        let fair = (servers / (members + zones)) as usize;
        assert!(
            (fair..=fair + 1).contains(&moved),
            "{moved} move on a join, expected about {fair}"
        );
        let joiner_owns = |owner: &&Option<u64>| **owner == Some(members + 1);
        assert_eq!(joined.iter().filter(joiner_owns).count(), moved);

        cluster
            .holders
            .last_mut()
            .expect("the new member")
            .set_leaving();
        cluster.rounds(40);
        let left = cluster.owners();
        assert!(left.iter().all(Option::is_some));
        assert!(
            !left.contains(&Some(members + 1)),
            "a leaving member owns a backend server"
        );
        assert_eq!(
            cluster::count_moved(&joined, &left),
            moved,
            "only the departed share moves"
        );
    }
}

/// Guards against backend servers of a failed member that stay without an owner, and against
/// ones that are reassigned while the lease of that member may be valid.
#[test]
fn a_failed_member_is_replaced_after_its_lease_expires() {
    let mut cluster = cluster::Cluster::new(6, 36, 2);
    cluster.rounds(8);
    let before = cluster.owners();
    let failed = cluster.holders.remove(0);
    let until = failed.view().lease_until.expect("a lease");
    loop {
        cluster.round();
        let owners = cluster.owners();
        if cluster.now < until {
            assert_eq!(owners, before);
        } else if !owners.contains(&Some(1)) {
            assert!(owners.iter().all(Option::is_some));
            assert!(cluster.now <= until + roster::RENEWAL_INTERVAL);
            break;
        }
    }
    let owned = before.iter().filter(|owner| **owner == Some(1)).count();
    assert_eq!(cluster::count_moved(&before, &cluster.owners()), owned);
}

/// Guards against one member that owns several replicas of a shard although others could
/// own them.
#[test]
fn replicas_of_a_shard_get_different_owners() {
    // All replicas in one zone, so that only the choice of owners separates them.
    let mut cluster = cluster::Cluster::new(9, 90, 1);
    cluster.rounds(8);
    let owners = cluster.owners();
    let sharing = owners
        .chunks(3)
        .filter(|shard| shard[0] == shard[1] || shard[1] == shard[2] || shard[0] == shard[2]);
    assert!(sharing.count() <= 1, "replicas share owners: {owners:?}");
}

/// Guards against a zone that keeps work while it is taken out, or gets none when it is
/// brought back.
#[test]
fn a_zone_taken_out_owns_nothing_until_brought_back() {
    let mut cluster = cluster::Cluster::new(9, 54, 3);
    cluster.rounds(8);
    let before = cluster.owners();
    let zone = "z1".to_owned();
    cluster.command(1, state::Change::TakeOutZone { zone: zone.clone() });
    cluster.rounds(3);
    for record in cluster.leader.servers() {
        let out = record.announcement.zone == zone;
        assert_eq!(record.owner.is_none(), out, "{record:?}");
        assert!(record.owner.is_none_or(|node| node % 3 != 1));
    }
    cluster.command(2, state::Change::BringBackZone { zone });
    cluster.rounds(6);
    let after = cluster.owners();
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
    assert_eq!(cluster.share_range(), (6, 6));
}

/// Guards against backend servers without an owner because their zone has no entry VM, and
/// against owners of other zones that keep them once it has one.
#[test]
fn a_zone_without_members_is_served_from_others() {
    let mut cluster = cluster::Cluster::new(2, 30, 3);
    cluster.rounds(8);
    assert!(cluster.owners().iter().all(Option::is_some));
    cluster.join(3);
    cluster.rounds(60);
    for record in cluster.leader.servers() {
        let zone = record.owner.map(|node| format!("z{}", node % 3));
        assert_eq!(zone.as_ref(), Some(&record.announcement.zone));
    }
}

/// Guards against a crash that is counted twice, and against a suspect that is lost or kept
/// forever.
#[test]
fn suspects_are_counted_published_and_expire() {
    let mut cluster = cluster::Cluster::new(3, 6, 3);
    cluster.rounds(5);
    for index in [0, 1] {
        cluster.holders[index].report_crash(77, "award-ledger-0001", 5);
    }
    cluster.holders[2].report_crash(77, "award-ledger-0002", 5);
    cluster.rounds(3);
    for holder in &cluster.holders {
        assert_eq!(holder.view().suspects.get(&77), Some(&2));
    }
    // A new leader learns the count from the holders.
    let config = roster::Config::default();
    cluster.leader = roster::Roster::new(2, cluster.now, config);
    cluster.rounds(6);
    for holder in &cluster.holders {
        assert_eq!(holder.view().suspects.get(&77), Some(&2));
    }
    cluster.rounds(config.suspect_retention.as_secs() as usize + 5);
    for holder in &cluster.holders {
        assert!(holder.view().suspects.is_empty());
    }
}

/// Guards against owners that change, or views that lose their backend servers, because
/// the leader changed.
#[test]
fn a_change_of_leader_moves_nothing() {
    let mut cluster = cluster::Cluster::new(9, 54, 3);
    cluster.rounds(8);
    let before = cluster.owners();
    cluster.leader = roster::Roster::new(2, cluster.now, roster::Config::default());
    for _ in 0..8 {
        cluster.round();
        for holder in &cluster.holders {
            let view = holder.view();
            let owners: Vec<_> = view.servers.values().map(|record| record.owner).collect();
            assert_eq!(owners, before);
            assert!(view.may_act(cluster.now));
        }
    }
    assert_eq!(cluster.owners(), before);
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
        let mut cluster = cluster::Cluster::new(members, servers, zones);
        cluster.rounds(8);
        let (start, shares) = (cluster.owners(), cluster.share_range());
        let rounds = 10;
        cluster.leader_time = std::time::Duration::ZERO;
        cluster.rounds(rounds);
        let steady = cluster.leader_time / (rounds as u32 * members as u32);
        println!(
            "{members} members, {servers} backend servers: steady request {} B, grant {} B, \
             leader {steady:?} per renewal",
            cluster.request_bytes, cluster.grant_bytes
        );
        let key = "queue-limit".to_owned();
        cluster.command(
            1,
            state::Change::SetValue {
                key,
                value: "300".to_owned(),
            },
        );
        cluster.renew(0);
        println!("  one catalog change: grant {} B", cluster.grant_bytes);
        cluster.servers[0].incarnation += 1;
        let changed = cluster.servers[0].clone();
        let now = cluster.now;
        cluster.holders[0].handle_announcement(&changed, now);
        cluster.renew(0);
        println!(
            "  one restarted backend server: request {} B, grant {} B",
            cluster.request_bytes, cluster.grant_bytes
        );
        cluster.join(members + 1);
        cluster.leader_time = std::time::Duration::ZERO;
        cluster.renew(members as usize);
        println!(
            "  join: grant {} B, leader {:?}",
            cluster.grant_bytes, cluster.leader_time
        );
        cluster.leader_time = std::time::Duration::ZERO;
        cluster.rounds(40);
        let joined = cluster.owners();
        let renewals = 40 * (members as u32 + 1);
        println!(
            "  shares before {shares:?}, after the join {:?}, moved {}; leader {:?} per renewal",
            cluster.share_range(),
            cluster::count_moved(&start, &joined),
            cluster.leader_time / renewals
        );
        cluster.holders.remove(0);
        cluster.rounds(12);
        let left = cluster.owners();
        println!(
            "  failure of a member: moved {}, shares {:?}",
            cluster::count_moved(&joined, &left),
            cluster.share_range()
        );
    }
}

//! Stability of a leader, and the time limit of its lease grants.

mod simulation;

use std::time;

use fireflyspool::consensus;

/// Seeds 1 to this number are run.
const SEEDS: u64 = 300;

fn cluster_with_leader(seed: u64) -> (simulation::Cluster, usize) {
    let mut cluster = simulation::Cluster::new(seed, if seed.is_multiple_of(2) { 3 } else { 5 });
    cluster.run(5000);
    let leader = cluster.leader().expect("a healthy group elects a leader");
    (cluster, leader)
}

fn term(cluster: &simulation::Cluster, at: usize) -> u64 {
    let process = cluster.nodes[at].process.as_ref();
    process.expect("the node runs").replica.status().term
}

fn may_grant_leases(cluster: &simulation::Cluster, at: usize) -> bool {
    let process = cluster.nodes[at].process.as_ref();
    let replica = &process.expect("the node runs").replica;
    replica.may_grant_leases(cluster.instant())
}

/// Guards against a replica that was partitioned or paused and deposes the leader on its return.
#[test]
fn a_rejoining_replica_does_not_depose_the_leader() {
    for seed in 1..=SEEDS {
        let (mut cluster, leader) = cluster_with_leader(seed);
        let before = term(&cluster, leader);
        let founders = usize::try_from(cluster.founders).expect("small");
        let other = (leader + 1 + cluster.rng.below(2) as usize) % founders;
        let away = 100 + cluster.rng.below(6000);
        match cluster.rng.below(5) {
            0 => cluster.step(&simulation::Step::Pause { node: other as u8 }),
            1 => cluster.crash(other, simulation::Tail::Lost),
            2 => cluster.isolate(other, simulation::Direction::Both),
            3 => cluster.isolate(other, simulation::Direction::Inward),
            _ => cluster.isolate(other, simulation::Direction::Outward),
        }
        cluster.run(away);
        cluster.network.heal();
        cluster.resume(other);
        cluster.restart(other);
        cluster.run(3000);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(term(&cluster, leader), before, "seed {seed}");
        assert!(may_grant_leases(&cluster, leader), "seed {seed}");
    }
}

/// Guards against lease grants of a leader that was paused or partitioned while another one was
/// elected.
#[test]
fn lease_grants_end_before_another_leader_is_elected() {
    for seed in 1..=SEEDS {
        let (mut cluster, leader) = cluster_with_leader(seed);
        assert!(may_grant_leases(&cluster, leader), "seed {seed}");
        if seed.is_multiple_of(3) {
            cluster.nodes[leader].paused = true;
        } else {
            cluster.isolate(leader, simulation::Direction::Both);
        }
        for _ in 0..3000 {
            // Each call checks that no two replicas may grant leases.
            cluster.run(1);
        }
        assert!(!may_grant_leases(&cluster, leader), "seed {seed}");
        let successor = cluster.nodes.iter().position(|node| {
            let process = node.process.as_ref();
            process.is_some_and(|process| process.replica.may_grant_leases(cluster.instant()))
        });
        assert!(successor.is_some_and(|at| at != leader), "seed {seed}");
        cluster.resume(leader);
        assert!(!may_grant_leases(&cluster, leader), "seed {seed}");
        cluster.check_recovery();
    }
}

/// Guards against a group that is formed while a founding member is unreachable.
#[test]
fn bootstrap_needs_every_founding_member() {
    for seed in 1..=20 {
        let mut cluster = simulation::Cluster::new(seed, 3);
        cluster.isolate(2, simulation::Direction::Both);
        cluster.run(5000);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        cluster.network.heal();
        cluster.run(5000);
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

/// Guards against accepting a message of another incarnation of a member.
#[test]
fn messages_of_another_incarnation_are_ignored() {
    let (cluster, leader) = cluster_with_leader(2);
    let node = &cluster.nodes[leader];
    let process = node.process.as_ref().expect("the node runs");
    let other = process.replica.members();
    let other = other.iter().find(|member| member.node != node.node);
    let other = other.expect("there are other members").node;
    let before = process.replica.status();
    let forged = consensus::Envelope {
        from: other,
        from_incarnation: 1,
        to: node.node,
        to_incarnation: Some(node.incarnation),
        message: consensus::Message::Accepted {
            term: before.term + 5,
            matched: 0,
            sent_us: 0,
        },
    };
    let mut cluster = cluster;
    cluster.handle_events(leader, vec![consensus::Event::Received(forged)]);
    assert_eq!(term(&cluster, leader), before.term);
}

/// Guards against a leader that grants leases after another one may have been elected,
/// because election timeouts were set without adapting the leader lease.
#[test]
fn a_leader_lease_ends_before_the_shortest_election_timeout() {
    let config = consensus::Config::new(1, 1, vec![1]);
    assert!(config.leader_lease < config.election_min);
    let shorter = time::Duration::from_millis(200);
    let config = config.with_election_timeout(shorter, shorter * 2);
    assert_eq!(config.election_min, shorter);
    assert!(config.leader_lease < shorter);
}

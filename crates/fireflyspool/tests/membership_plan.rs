//! The control group through random series of losses, replacements, restarts and planned stops,
//! one at a time, each `CATCH_UP` after the one before.
//!
//! The plan, the attendance, the member list and the wanted group are those of the product;
//! replication is taken as instant while a majority is live, and an election as one pause.

mod common;

use std::{collections, net, time};

use fireflyspool::{consensus, control, ids, state};

/// Time after the return of a VM, or the start of its successor, until the next one is lost.
const CATCH_UP: u64 = 4_000;

/// Time in milliseconds until a VM has started and its request to join has come to the leader.
const START: u64 = 400;

/// Pause in milliseconds between two steps of the plan, and the time of an election.
const STEP: u64 = 250;
const ELECTION: u64 = 500;

const VMS: u8 = 5;

/// A machine of the group: the number of its data folder, and whether it runs.
#[derive(Clone, Copy, Debug)]
struct Vm {
    listener: net::SocketAddr,
    node: ids::NodeId,
    runs: bool,
    /// When it asks to join; `None` if it is a member.
    joins_at: Option<u64>,
}

struct Group {
    start: time::Instant,
    now: u64,
    vms: Vec<Vm>,
    next_number: u64,
    members: consensus::Members,
    wanted: state::ControlGroup,
    attendance: control::Attendance,
    /// Leading VM and when its election is over.
    leader: Option<(ids::NodeId, u64)>,
    heard: collections::BTreeMap<ids::NodeId, time::Instant>,
    /// What was done, for the report of a failure.
    story: Vec<String>,
}

fn listener(number: u64) -> net::SocketAddr {
    let host = u8::try_from(number % 250).expect("a small number");
    net::SocketAddr::from(([10, 0, 0, host], 7_740))
}

impl Group {
    fn new() -> Self {
        let vms = (1..=u64::from(VMS)).map(|number| Vm {
            listener: listener(number),
            node: number,
            runs: true,
            joins_at: None,
        });
        let vms: Vec<_> = vms.collect();
        let mut wanted = state::ControlGroup::default();
        for vm in &vms {
            wanted.join(vm.node, vm.node, vm.listener);
        }
        Self {
            start: time::Instant::now(),
            now: 0,
            members: consensus::Members::of_voters(vms.iter().map(|vm| (vm.node, vm.node))),
            next_number: u64::from(VMS),
            vms,
            wanted,
            attendance: control::Attendance::new(),
            leader: None,
            heard: collections::BTreeMap::new(),
            story: Vec::new(),
        }
    }

    fn instant(&self) -> time::Instant {
        self.start + time::Duration::from_millis(self.now)
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn runs(&self, node: ids::NodeId) -> bool {
        self.vms.iter().any(|vm| vm.node == node && vm.runs)
    }

    fn live_voters(&self) -> usize {
        self.members
            .voters()
            .filter(|node| self.runs(*node))
            .count()
    }

    fn has_majority(&self) -> bool {
        self.live_voters() >= self.members.quorum_size()
    }

    fn note(&mut self, what: &str, at: usize) {
        let vm = self.vms[at];
        self.story.push(format!(
            "{} ms: {what} {} {}; voters {:?}, expected {}",
            self.now,
            vm.listener.ip(),
            vm.node,
            self.members.voters().collect::<Vec<_>>(),
            self.wanted.expected_size()
        ));
    }

    /// Lets time pass; checks at each step that the group works.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 50;
            self.join_due();
            self.lead();
            assert!(
                self.has_majority(),
                "no majority at {} ms: {:#?}",
                self.now,
                self.story
            );
        }
    }

    fn join_due(&mut self) {
        for at in 0..self.vms.len() {
            let vm = self.vms[at];
            if !vm.runs || vm.joins_at.is_none_or(|due| due > self.now) || self.leader.is_none() {
                continue;
            }
            self.vms[at].joins_at = None;
            let outcome = self.wanted.join(vm.node, vm.node, vm.listener);
            if outcome == state::IdempotentOutcome::Retired {
                self.vms[at].node = self.number();
                self.vms[at].joins_at = Some(self.now + START);
            }
        }
    }

    fn lead(&mut self) {
        let leads = self
            .leader
            .filter(|(node, _)| self.runs(*node) && self.members.is_voter(*node));
        if leads.is_none() {
            let candidate = self.members.voters().find(|node| self.runs(*node));
            self.leader = candidate.map(|node| (node, self.now + ELECTION));
            self.attendance = control::Attendance::new();
            self.heard.clear();
        }
        let Some((own, elected)) = self.leader else {
            return;
        };
        if self.now < elected {
            return;
        }
        let now = self.instant();
        for member in self.members.iter() {
            if self.runs(member.node) {
                self.heard.insert(member.node, now);
            }
        }
        if !self.now.is_multiple_of(STEP) {
            return;
        }
        let follower = |member: &consensus::Member| consensus::FollowerStatus {
            node: member.node,
            match_index: u64::from(self.runs(member.node)),
            acknowledged: self.heard.get(&member.node).copied(),
        };
        let others = self.members.iter().filter(|member| member.node != own);
        let status = consensus::Status {
            node: own,
            last_index: 1,
            commit_index: 1,
            members: self.members.clone(),
            followers: others.map(follower).collect(),
            ..consensus::Status::default()
        };
        self.attendance.update(&status, now);
        let plan = control::MembershipPlan {
            own,
            members: &self.members,
            group: &self.wanted,
            attendance: &self.attendance,
            now,
        };
        let (change, command) = (plan.next_change(), plan.next_command());
        if let Some(change) = change {
            self.members = self.members.changed(change).expect("a valid change");
        }
        match command {
            Some(state::IdempotentCommand::Retire { node }) => {
                self.wanted.remove(node, 0).expect("a wanted member");
                self.story.push(format!("{} ms: retired {node}", self.now));
            }
            Some(state::IdempotentCommand::Resize { size }) => self.wanted.resize(size),
            other => assert_eq!(other, None, "no other command"),
        }
    }

    /// A VM stops for a while; `wiped` if it returns with an empty disk.
    fn restart(&mut self, at: usize, down: u64, (planned, wiped): (bool, bool)) {
        self.note(if wiped { "loses its disk" } else { "stops" }, at);
        if planned {
            self.wanted.leave(self.vms[at].listener);
        }
        self.vms[at].runs = false;
        self.run(down);
        self.vms[at].runs = true;
        self.vms[at].joins_at = Some(self.now + START);
        if wiped {
            self.vms[at].node = self.number();
        }
    }

    /// A VM is replaced by one at another address, which starts before it stops if `planned`.
    fn replace(&mut self, at: usize, planned: bool) {
        self.note(if planned { "is replaced" } else { "is gone" }, at);
        let number = self.number();
        let new = Vm {
            listener: listener(number),
            node: number,
            runs: true,
            joins_at: None,
        };
        if !planned {
            self.vms.remove(at);
            self.run(1_000);
        }
        self.vms.push(Vm {
            joins_at: Some(self.now + START),
            ..new
        });
        if planned {
            self.run(1_000);
            self.wanted.leave(self.vms[at].listener);
            self.vms.remove(at);
        }
    }
}

/// Guards against a group that loses its majority although one VM at a time is lost: voters that
/// are gone for good pile up, or a learner that is gone holds up those that live.
#[test]
fn the_group_bears_any_series_of_single_losses() {
    fn property(entries: common::Entries) -> bool {
        let mut script = common::Script::new(entries);
        let mut group = Group::new();
        group.run(10_000);
        while !script.is_exhausted() {
            let at = usize::try_from(script.below(group.vms.len() as u64)).expect("small");
            match script.below(7) {
                0 | 1 => group.replace(at, false),
                2 => group.replace(at, true),
                3 => group.restart(at, 1_000, (false, true)),
                4 => group.restart(at, 200 + script.below(7_500), (false, false)),
                5 => group.restart(at, 200 + script.below(7_500), (true, false)),
                _ => group.restart(at, 20_000, (false, false)),
            }
            group.run(CATCH_UP);
            let left = group.live_voters();
            assert!(
                left > group.members.quorum_size(),
                "{left} live voters of {:?} bear no loss: {:#?}",
                group.members,
                group.story
            );
        }
        true
    }
    common::check(20, 20, 120, property);
}

/// Guards against a VM that is retired because it restarts while nothing has replaced it.
#[test]
fn a_vm_that_restarts_is_not_retired() {
    let mut group = Group::new();
    group.run(10_000);
    for at in 0..usize::from(VMS) {
        group.restart(at, 7_500, (false, false));
        group.run(CATCH_UP);
        assert!(group.wanted.removed.is_empty());
    }
}

/// Guards against a group that grows by each planned replacement.
#[test]
fn planned_replacements_leave_no_voter_behind() {
    let mut group = Group::new();
    group.run(10_000);
    for _ in 0..10 {
        group.replace(0, true);
        group.run(CATCH_UP);
        assert_eq!(group.members.len(), usize::from(VMS), "{:#?}", group.story);
    }
}

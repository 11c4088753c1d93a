//! Steps of a schedule, and invariants of the whole group.

use fireflyspool::{consensus, ids};

use crate::simulation;
use crate::simulation::{node, oracle};

impl simulation::Oracle {
    /// Checks that a leader appends no membership change while another one is uncommitted.
    pub(crate) fn check_single_change(
        &self,
        process: &mut node::Process,
        handled: &[consensus::Action],
    ) {
        let status = process.replica.status();
        for action in handled {
            let consensus::Action::Persist(consensus::Record::Entry(entry)) = action else {
                continue;
            };
            if entry.term != status.term || !process.replica.is_leader() {
                continue;
            }
            let opens = process.led_term.0 != entry.term;
            if opens {
                process.led_term = (entry.term, entry.index);
                process.members_written = 0;
            }
            if matches!(entry.content, consensus::Content::Members(_)) {
                // Committing the first entry of the term commits the changes of earlier terms.
                let open = process.led_term.1.max(process.members_written);
                assert!(
                    opens || status.commit_index >= open,
                    "membership change at {} while {open} is not committed",
                    entry.index
                );
                process.members_written = entry.index;
            }
        }
    }

    /// Checks that a node votes once in a term, and not after it lost its log.
    pub(crate) fn check_vote(&mut self, envelope: &consensus::Envelope, empty: bool) {
        if let consensus::Message::VoteReply {
            term,
            granted: true,
        } = envelope.message
        {
            let voter = (envelope.from, envelope.from_incarnation);
            self.record_vote(term, voter, envelope.to);
            assert!(!empty, "node {} voted without its log", voter.0);
        }
    }
}

impl simulation::Cluster {
    /// Checks that at most one node may grant leases, and none while a later term has a leader.
    pub(crate) fn check_grants(&self) {
        let now = self.instant();
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let replicas: Vec<_> = processes.map(|process| &process.replica).collect();
        let Some(granting) = replicas
            .iter()
            .find(|replica| replica.may_grant_leases(now))
        else {
            return;
        };
        let term = granting.status().term;
        let conflicts = |replica: &&&consensus::Replica| {
            replica.is_leader() && replica.status().term > term || replica.may_grant_leases(now)
        };
        let conflicting = replicas.iter().filter(conflicts).count();
        assert_eq!(
            conflicting, 1,
            "leader of term {term} may grant leases besides another one at {}",
            self.now
        );
    }

    /// Checks that each term has at most one leader.
    pub(crate) fn check_leaders(&mut self) {
        for node in &self.nodes {
            let process = node.process.as_ref();
            if let Some(process) = process.filter(|process| process.replica.is_leader()) {
                self.oracle
                    .record_leader(process.replica.status().term, node.node);
            }
        }
    }

    pub(crate) fn step(&mut self, step: &simulation::Step) {
        let count = self.nodes.len();
        let at = |node: u8| usize::from(node) % count;
        match *step {
            simulation::Step::Run { millis } => self.run(millis.into()),
            simulation::Step::Propose { node } => {
                self.propose(at(node));
            }
            simulation::Step::ProposeToLeader => {
                if let Some(leader) = self.leader() {
                    self.propose(leader);
                }
            }
            simulation::Step::Crash { node, tail } => self.crash(at(node), tail),
            simulation::Step::FailDisk { node, operations } => {
                let operations = Some(operations.into());
                let node = &self.nodes[at(node)];
                if node.process.is_some() {
                    node.disk.fail_after(operations);
                }
            }
            simulation::Step::CrashAfter { node, actions } => {
                let node = &mut self.nodes[at(node)];
                node.crash_after = node.process.as_ref().map(|_| actions);
            }
            simulation::Step::Restart { node } => self.restart(at(node)),
            simulation::Step::LoseDisk { node, joining } => self.lose_disk(at(node), joining),
            simulation::Step::Pause { node } => {
                let node = &mut self.nodes[at(node)];
                node.paused = node.process.is_some();
            }
            simulation::Step::Resume { node } => self.resume(at(node)),
            simulation::Step::Isolate { node, direction } => self.isolate(at(node), direction),
            simulation::Step::CutLink { from, to } => {
                let link = (self.nodes[at(from)].node, self.nodes[at(to)].node);
                self.network.cut_links.push(link);
            }
            simulation::Step::Heal => self.network.heal(),
            simulation::Step::Network {
                loss,
                repeat,
                delay,
            } => {
                (self.network.loss, self.network.repeat) = (loss, repeat);
                self.network.delay = delay;
            }
            simulation::Step::Replace { node } => self.replace(at(node)),
            simulation::Step::Remove { node } => {
                if let Some(leader) = self.leader() {
                    let node = self.nodes[at(node)].node;
                    self.change_members(leader, consensus::MembershipChange::Remove { node });
                }
            }
            simulation::Step::Compact { node } => self.compact(at(node)),
        }
    }

    pub(crate) fn isolate(&mut self, at: usize, direction: simulation::Direction) {
        let own = self.nodes[at].node;
        let others = self.nodes.iter().map(|node| node.node);
        for other in others.filter(|other| *other != own) {
            if direction != simulation::Direction::Outward {
                self.network.cut_links.push((other, own));
            }
            if direction != simulation::Direction::Inward {
                self.network.cut_links.push((own, other));
            }
        }
    }

    /// Proposes the next membership change that makes a node a voter in its current incarnation.
    pub(crate) fn replace(&mut self, at: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(process) = &self.nodes[leader].process else {
            return;
        };
        let (node, incarnation) = (self.nodes[at].node, self.nodes[at].incarnation);
        let change = match process.replica.members().get(node) {
            None => consensus::MembershipChange::AddLearner { node, incarnation },
            Some(member) if member.incarnation != incarnation => {
                consensus::MembershipChange::Remove { node }
            }
            Some(member) if member.kind == consensus::MemberKind::Learner => {
                consensus::MembershipChange::Promote { node }
            }
            Some(_) => return,
        };
        self.change_members(leader, change);
    }

    /// Ends all failures; the group must then accept a command unless it may lack a majority.
    pub(crate) fn check_recovery(&mut self) {
        self.network.heal();
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.fail_after(None);
            self.nodes[at].crash_after = None;
            self.resume(at);
            self.restart(at);
        }
        self.run(8000);
        if !self.must_recover() {
            return;
        }
        let Some(leader) = self.leader() else {
            panic!("no leader in a healthy group: {:?}", self.timers());
        };
        let ticket = self.propose(leader);
        self.run(3000);
        let result = self.oracle.result(ticket);
        assert_eq!(
            result,
            Some(oracle::ProposalResult::Accepted),
            "a healthy group accepts"
        );
        self.check_agreement(leader);
    }

    /// Whether the candidate of an envelope has no log or has recorded the voter's incarnation.
    ///
    /// Without a log it needs the votes of all founders, so one with an empty
    /// disk cannot decide the election. A founder whose incarnation is in the
    /// first entry may vote without entries.
    pub(crate) fn is_recorded(&self, envelope: &consensus::Envelope) -> bool {
        let candidate = usize::try_from(envelope.to - 1).expect("numbers are small");
        let Some(candidate) = &self.nodes[candidate].process else {
            return true;
        };
        let members = candidate.replica.members();
        let recorded = members.get(envelope.from).map(|member| member.incarnation);
        candidate.replica.status().last_index == 0 || recorded == Some(envelope.from_incarnation)
    }

    /// Whether the group must recover: no voter lost its disk, or all members agree on the
    /// member list and a majority of the voters kept theirs.
    ///
    /// A lost disk during an uncommitted membership change can leave Raft without a majority.
    fn must_recover(&self) -> bool {
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let lists = processes.map(|process| process.replica.members());
        let known: Vec<_> = lists.filter(|members| !members.is_empty()).collect();
        let count = |members: &consensus::Members| {
            let present = members
                .voters()
                .filter(|voter| self.is_intact(members, *voter));
            present.count()
        };
        let Some(first) = known.first() else {
            return self.nodes.iter().all(|node| !node.disk_lost);
        };
        let complete = |members: &consensus::Members| count(members) == members.voters().count();
        let agreed = known.iter().all(|members| members == first);
        known.iter().all(complete) || (agreed && count(first) >= first.quorum_size())
    }

    fn is_intact(&self, members: &consensus::Members, voter: ids::NodeId) -> bool {
        let recorded = members.get(voter).map(|member| member.incarnation);
        let mut nodes = self.nodes.iter();
        nodes.any(|node| node.node == voter && Some(node.incarnation) == recorded)
    }

    /// Checks that all members have applied exactly the accepted commands.
    fn check_agreement(&self, leader: usize) {
        let Some(process) = &self.nodes[leader].process else {
            panic!("the leader runs");
        };
        let members = process.replica.members();
        let accepted: node::State = self
            .oracle
            .accepted
            .iter()
            .map(|(index, (_, command))| (*index, command.clone()))
            .collect();
        for node in &self.nodes {
            let recorded = members.get(node.node).map(|member| member.incarnation);
            if let Some(process) = &node.process
                && recorded == Some(node.incarnation)
            {
                assert_eq!(process.state, accepted, "node {} differs", node.node);
            }
        }
    }
}

//! Leader state.

use std::time;

use crate::{consensus, ids, sorted};

/// State of the leader of a term.
#[derive(Debug)]
pub(super) struct Leader {
    /// When the election was won; send times in messages are relative to it.
    pub(super) elected: time::Instant,
    /// First entry of the term; earlier entries are committed with it, never by counting replicas.
    pub(super) first_index: ids::LogIndex,
    pub(super) followers: sorted::SortedMap<ids::NodeId, consensus::progress::Progress>,
}

impl Leader {
    pub(super) fn new(core: &consensus::core::Core, now: time::Instant) -> Self {
        Self {
            elected: now,
            first_index: core.log.last_index() + 1,
            followers: sorted::SortedMap::new(),
        }
    }

    /// Latest time such that a majority acknowledged messages sent at it or later.
    pub(super) fn quorum_acknowledged_at(
        &self,
        core: &consensus::core::Core,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let members = core.log.members();
        let acknowledged = |node: ids::NodeId| {
            if node == core.config.node {
                return Some(now);
            }
            self.followers.get(&node)?.acknowledged
        };
        let mut times: Vec<_> = members.voters().filter_map(acknowledged).collect();
        times.sort_unstable();
        let position = times.len().checked_sub(members.quorum_size())?;
        times.get(position).copied()
    }

    /// Whether leases may be granted at this time.
    pub(super) fn may_grant_leases(
        &self,
        core: &consensus::core::Core,
        now: time::Instant,
    ) -> bool {
        let acknowledged = self.quorum_acknowledged_at(core, now);
        core.commit_index >= self.first_index
            && acknowledged.is_some_and(|at| now < at + core.config.leader_lease)
    }

    /// Last entry of this term that a majority holds.
    pub(super) fn quorum_match_index(&self, core: &consensus::core::Core) -> Option<ids::LogIndex> {
        let members = core.log.members();
        let matched = |node: ids::NodeId| {
            if node == core.config.node {
                return core.log.last_index();
            }
            self.followers.get(&node).map_or(0, |f| f.match_index)
        };
        let mut matches: Vec<_> = members.voters().map(matched).collect();
        matches.sort_unstable();
        let position = matches.len().checked_sub(members.quorum_size())?;
        let index = *matches.get(position)?;
        (index >= self.first_index).then_some(index)
    }

    /// Progress of the followers.
    pub(super) fn follower_statuses(&self) -> Vec<consensus::FollowerStatus> {
        let status = |(node, follower): (&ids::NodeId, &consensus::progress::Progress)| {
            consensus::FollowerStatus {
                node: *node,
                match_index: follower.match_index,
                acknowledged: follower.acknowledged,
            }
        };
        self.followers.iter().map(status).collect()
    }
}

impl consensus::participant::Participant<Leader> {
    /// Appends the first entry of the term and announces the leader.
    pub(super) fn begin_term(&mut self, content: consensus::Content, now: time::Instant) {
        self.append(content);
        self.update_commit_index();
        self.broadcast(now);
    }

    /// Sends heartbeats, or steps down if a majority has been silent for too long.
    pub(super) fn handle_timeout(
        mut self,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        let acknowledged = self.state.quorum_acknowledged_at(&self.core, now);
        let since = acknowledged
            .unwrap_or(self.state.elected)
            .max(self.state.elected);
        if now >= since + self.core.config.election_max {
            let term = self.core.vote.term;
            return consensus::any_participant::AnyParticipant::Follower(
                self.become_follower(term, None, now),
            );
        }
        self.broadcast(now);
        consensus::any_participant::AnyParticipant::Leader(self)
    }

    /// Appends a command.
    pub(super) fn propose(&mut self, ticket: ids::Ticket, payload: Vec<u8>, now: time::Instant) {
        let index = self.append(consensus::Content::Command(payload));
        self.core.open_ticket(index, ticket);
        self.update_commit_index();
        self.replicate(now);
    }

    /// Appends a membership change unless it is invalid or another one is not committed.
    pub(super) fn change_members(
        &mut self,
        ticket: ids::Ticket,
        change: consensus::MembershipChange,
        now: time::Instant,
    ) {
        match self.check_change(change) {
            Ok(members) => {
                let index = self.append(consensus::Content::Members(members));
                self.core.open_ticket(index, ticket);
                self.update_commit_index();
                self.broadcast(now);
            }
            Err(refusal) => {
                let refused = consensus::Action::RefuseChange { ticket, refusal };
                self.core.emit(refused);
            }
        }
    }

    fn check_change(
        &self,
        change: consensus::MembershipChange,
    ) -> Result<consensus::Members, consensus::ChangeRefusal> {
        // Two uncommitted changes could have majorities that do not overlap. So could a change
        // on top of an earlier leader's change that this term has not committed yet.
        let open = self.core.log.members_index().max(self.state.first_index);
        if self.core.commit_index < open {
            return Err(consensus::ChangeRefusal::Pending);
        }
        let members = self.core.log.members().changed(change)?;
        if let consensus::MembershipChange::Promote { node } = change {
            let learner = self.state.followers.get(&node);
            if learner.is_none_or(|learner| learner.match_index < self.core.commit_index) {
                return Err(consensus::ChangeRefusal::NotCaughtUp);
            }
        }
        Ok(members)
    }

    fn append(&mut self, content: consensus::Content) -> ids::LogIndex {
        let index = self.core.log.last_index() + 1;
        let term = self.core.vote.term;
        let entry = consensus::Entry {
            index,
            term,
            content,
        };
        self.core.append(entry);
        self.update_followers();
        index
    }

    /// Commits what a majority holds.
    pub(super) fn update_commit_index(&mut self) {
        if let Some(index) = self.state.quorum_match_index(&self.core) {
            self.core.advance_commit(index);
        }
    }

    /// Steps down after the removal of this replica is committed.
    pub(super) fn step_down_if_removed(
        mut self,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        let members = self.core.log.members();
        let removed = !members.is_voter(self.core.config.node)
            && self.core.commit_index >= self.core.log.members_index();
        if !removed {
            return consensus::any_participant::AnyParticipant::Leader(self);
        }
        // Tells the remaining members that the removal is committed.
        self.broadcast(now);
        let term = self.core.vote.term;
        consensus::any_participant::AnyParticipant::Follower(self.become_follower(term, None, now))
    }
}

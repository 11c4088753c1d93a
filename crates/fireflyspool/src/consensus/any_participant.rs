//! The states of a participant, stored together.

use std::time;

use crate::consensus::participant;
use crate::{consensus, ids};

/// Participant in any state.
#[derive(Debug)]
pub(super) enum AnyParticipant {
    Follower(participant::Participant<consensus::follower::Follower>),
    PreCandidate(participant::Participant<consensus::pre_candidate::PreCandidate>),
    Candidate(participant::Participant<consensus::candidate::Candidate>),
    Leader(participant::Participant<consensus::leader::Leader>),
}

impl AnyParticipant {
    pub(super) fn core(&self) -> &consensus::core::Core {
        match self {
            Self::Follower(participant) => &participant.core,
            Self::PreCandidate(participant) => &participant.core,
            Self::Candidate(participant) => &participant.core,
            Self::Leader(participant) => &participant.core,
        }
    }

    pub(super) fn core_mut(&mut self) -> &mut consensus::core::Core {
        match self {
            Self::Follower(participant) => &mut participant.core,
            Self::PreCandidate(participant) => &mut participant.core,
            Self::Candidate(participant) => &mut participant.core,
            Self::Leader(participant) => &mut participant.core,
        }
    }

    pub(super) fn role(&self) -> consensus::Role {
        match self {
            Self::Follower(_) => consensus::Role::Follower,
            Self::PreCandidate(_) => consensus::Role::PreCandidate,
            Self::Candidate(_) => consensus::Role::Candidate,
            Self::Leader(_) => consensus::Role::Leader,
        }
    }

    /// Handles one event.
    pub(super) fn step(mut self, event: consensus::Event, now: time::Instant) -> Self {
        match event {
            consensus::Event::Start => self,
            consensus::Event::Timer => self.handle_timeout(now),
            consensus::Event::Received(envelope) => {
                if self.core().accepts(&envelope) {
                    self.receive(envelope, now)
                } else {
                    self
                }
            }
            consensus::Event::Propose { ticket, payload } => {
                self.with_leader(ticket, now, |leader| leader.propose(ticket, payload, now))
            }
            consensus::Event::Compact { index, snapshot } => {
                self.core_mut().compact(index, snapshot);
                self
            }
            consensus::Event::ChangeMembers { ticket, change } => {
                self.with_leader(ticket, now, |leader| {
                    leader.change_members(ticket, change, now);
                })
            }
        }
    }

    /// Passes the leader to a function; refuses the ticket in any other role.
    fn with_leader(
        self,
        ticket: ids::Ticket,
        now: time::Instant,
        act: impl FnOnce(&mut participant::Participant<consensus::leader::Leader>),
    ) -> Self {
        match self {
            Self::Leader(mut leader) => {
                act(&mut leader);
                leader.step_down_if_removed(now)
            }
            mut other => {
                other.core_mut().refuse(ticket);
                other
            }
        }
    }

    fn handle_timeout(self, now: time::Instant) -> Self {
        if now < self.core().deadline {
            return self;
        }
        match self {
            Self::Follower(follower) => follower.handle_timeout(now),
            Self::PreCandidate(candidate) => candidate.retry(now),
            Self::Candidate(candidate) => candidate.retry(now),
            Self::Leader(leader) => leader.handle_timeout(now),
        }
    }

    fn receive(self, envelope: consensus::Envelope, now: time::Instant) -> Self {
        match envelope.message {
            consensus::Message::PreVote(ref request) => {
                self.answer_pre_vote(&envelope, request, now)
            }
            consensus::Message::Vote(ref request) => self.answer_vote(&envelope, request, now),
            consensus::Message::Append { term, sent_us, .. }
            | consensus::Message::Install { term, sent_us, .. } => {
                self.answer_leader(envelope, term, sent_us, now)
            }
            consensus::Message::PreVoteReply { term, granted } => match self {
                Self::PreCandidate(candidate)
                    if granted && term == candidate.core.vote.term + 1 =>
                {
                    candidate.count_vote(envelope.from, envelope.from_incarnation, now)
                }
                other if granted => other,
                other => other.adopt_newer_term(term, now),
            },
            consensus::Message::VoteReply { term, granted } => match self {
                Self::Candidate(candidate) if granted && term == candidate.core.vote.term => {
                    candidate.count_vote(envelope.from, envelope.from_incarnation, now)
                }
                other => other.adopt_newer_term(term, now),
            },
            consensus::Message::Accepted { term, .. }
            | consensus::Message::Rejected { term, .. }
            | consensus::Message::InstallMore { term, .. } => match self {
                Self::Leader(leader) if term == leader.core.vote.term => {
                    leader.handle_reply(envelope.from, &envelope.message, now)
                }
                other => other.adopt_newer_term(term, now),
            },
        }
    }

    fn answer_leader(
        mut self,
        envelope: consensus::Envelope,
        term: u64,
        sent_us: u64,
        now: time::Instant,
    ) -> Self {
        let sender = (envelope.from, envelope.from_incarnation);
        let own_term = self.core().vote.term;
        if term < own_term {
            let reply = consensus::Message::Rejected {
                term: own_term,
                previous_index: 0,
                hint_index: 0,
                hint_term: None,
                sent_us,
            };
            self.core_mut().reply(sender, reply);
            return self;
        }
        if term == own_term && matches!(self, Self::Leader(_)) {
            return self;
        }
        let mut follower = self.become_follower(term, Some(envelope.from), now);
        follower.handle_leader_message(sender, envelope.message, now);
        Self::Follower(follower)
    }

    /// Becomes a follower if a term is above the current one.
    pub(super) fn adopt_newer_term(self, term: u64, now: time::Instant) -> Self {
        if term > self.core().vote.term {
            Self::Follower(self.become_follower(term, None, now))
        } else {
            self
        }
    }

    fn become_follower(
        self,
        term: u64,
        leader: Option<u64>,
        now: time::Instant,
    ) -> participant::Participant<consensus::follower::Follower> {
        match self {
            Self::Follower(participant) => participant.become_follower(term, leader, now),
            Self::PreCandidate(participant) => participant.become_follower(term, leader, now),
            Self::Candidate(participant) => participant.become_follower(term, leader, now),
            Self::Leader(participant) => participant.become_follower(term, leader, now),
        }
    }
}

impl AnyParticipant {
    /// Summary of the participant.
    pub(super) fn status(&self) -> consensus::Status {
        let core = self.core();
        let followers = match self {
            Self::Leader(leader) => leader.state.follower_statuses(),
            _ => Vec::new(),
        };
        consensus::Status {
            node: core.config.node,
            role: self.role(),
            term: core.vote.term,
            leader: core.leader,
            last_index: core.log.last_index(),
            commit_index: core.commit_index,
            snapshot_index: core.log.snapshot_index(),
            members: core.log.members().clone(),
            followers,
        }
    }
}

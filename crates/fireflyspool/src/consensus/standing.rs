//! The states of a participant, stored together.

use std::time;

use crate::consensus::participant;
use crate::{consensus, ids};

/// Participant in any state.
#[derive(Debug)]
pub(super) enum Standing {
    Follower(participant::Participant<consensus::follower::Follower>),
    PreCandidate(participant::Participant<consensus::pre_candidate::PreCandidate>),
    Candidate(participant::Participant<consensus::candidate::Candidate>),
    Leader(participant::Participant<consensus::leader::Leader>),
}

impl Standing {
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
            consensus::Event::Timer => self.time_out(now),
            consensus::Event::Received(envelope) => {
                if self.core().accepts(&envelope) {
                    self.receive(envelope, now)
                } else {
                    self
                }
            }
            consensus::Event::Propose { ticket, payload } => {
                self.lead(ticket, now, |leader| leader.propose(ticket, payload, now))
            }
            consensus::Event::Compact { index, snapshot } => {
                self.core_mut().compact(index, snapshot);
                self
            }
            consensus::Event::ChangeMembers { ticket, change } => {
                self.lead(ticket, now, |leader| {
                    leader.change_members(ticket, change, now);
                })
            }
        }
    }

    /// Lets the leader act; any other participant refuses the ticket.
    fn lead(
        self,
        ticket: ids::Ticket,
        now: time::Instant,
        act: impl FnOnce(&mut participant::Participant<consensus::leader::Leader>),
    ) -> Self {
        match self {
            Self::Leader(mut leader) => {
                act(&mut leader);
                leader.settle(now)
            }
            mut other => {
                other.core_mut().refuse(ticket);
                other
            }
        }
    }

    fn time_out(self, now: time::Instant) -> Self {
        if now < self.core().deadline {
            return self;
        }
        match self {
            Self::Follower(follower) => follower.time_out(now),
            Self::PreCandidate(candidate) => candidate.ask_again(now),
            Self::Candidate(candidate) => candidate.ask_again(now),
            Self::Leader(leader) => leader.time_out(now),
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
                Self::PreCandidate(asking) if granted && term == asking.core.vote.term + 1 => {
                    asking.count(envelope.from, envelope.from_incarnation, now)
                }
                other if granted => other,
                other => other.catch_up(term, now),
            },
            consensus::Message::VoteReply { term, granted } => match self {
                Self::Candidate(standing) if granted && term == standing.core.vote.term => {
                    standing.count(envelope.from, envelope.from_incarnation, now)
                }
                other => other.catch_up(term, now),
            },
            consensus::Message::Accepted { term, .. }
            | consensus::Message::Rejected { term, .. }
            | consensus::Message::InstallMore { term, .. } => match self {
                Self::Leader(leader) if term == leader.core.vote.term => {
                    leader.hear(envelope.from, &envelope.message, now)
                }
                other => other.catch_up(term, now),
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
        let mut follower = self.follow(term, Some(envelope.from), now);
        follower.heed(sender, envelope.message, now);
        Self::Follower(follower)
    }

    /// Becomes a follower if a term is above the current one.
    pub(super) fn catch_up(self, term: u64, now: time::Instant) -> Self {
        if term > self.core().vote.term {
            Self::Follower(self.follow(term, None, now))
        } else {
            self
        }
    }

    fn follow(
        self,
        term: u64,
        leader: Option<u64>,
        now: time::Instant,
    ) -> participant::Participant<consensus::follower::Follower> {
        match self {
            Self::Follower(participant) => participant.follow(term, leader, now),
            Self::PreCandidate(participant) => participant.follow(term, leader, now),
            Self::Candidate(participant) => participant.follow(term, leader, now),
            Self::Leader(participant) => participant.follow(term, leader, now),
        }
    }
}

impl Standing {
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

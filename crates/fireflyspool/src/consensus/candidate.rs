//! Candidate state.

use std::time;

use crate::consensus;

/// State of a participant that collects votes in an election.
#[derive(Debug, Default)]
pub(super) struct Candidate {
    tally: consensus::tally::Tally,
}

impl Candidate {
    /// Starts an election in the next term and votes for this replica.
    pub(super) fn start(core: &mut consensus::core::Core, now: time::Instant) -> Self {
        let node = core.config.node;
        core.set_vote(core.vote.term + 1, Some(node));
        core.reset_election_timer(now);
        let message = consensus::Message::Vote(core.vote_request(core.vote.term));
        core.send_to_electorate(&message);
        Self::default()
    }
}

impl consensus::participant::Participant<Candidate> {
    /// Becomes the leader after winning the election.
    fn become_leader(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::leader::Leader> {
        let first_content = if self.core.is_bootstrapping() {
            let founding = &self.core.config.founding;
            let granted = self.state.tally.granted();
            let founders = granted.filter(|(node, _)| founding.contains(node));
            consensus::Content::Members(consensus::Members::of_voters(founders))
        } else {
            consensus::Content::NoOp
        };
        self.core.leader = Some(self.core.config.node);
        let state = consensus::leader::Leader::new(&self.core, now);
        let mut leader = consensus::participant::Participant {
            core: self.core,
            state,
        };
        leader.begin_term(first_content, now);
        leader
    }
}

impl consensus::campaign::Campaign for Candidate {
    fn tally(&mut self) -> &mut consensus::tally::Tally {
        &mut self.tally
    }

    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::any_participant::AnyParticipant {
        consensus::any_participant::AnyParticipant::Leader(participant.become_leader(now))
    }

    fn undecided(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::any_participant::AnyParticipant {
        consensus::any_participant::AnyParticipant::Candidate(participant)
    }
}

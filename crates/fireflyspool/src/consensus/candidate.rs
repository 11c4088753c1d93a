//! Candidate state.

use std::time;

use crate::consensus;

/// State of a participant that stands for election.
#[derive(Debug, Default)]
pub(super) struct Candidate {
    tally: consensus::tally::Tally,
}

impl Candidate {
    /// Opens an election in the next term with this replica's own vote.
    pub(super) fn open(core: &mut consensus::core::Core, now: time::Instant) -> Self {
        let node = core.config.node;
        core.set_vote(core.vote.term + 1, Some(node));
        core.await_leader(now);
        let message = consensus::Message::Vote(core.vote_request(core.vote.term));
        core.ask_electorate(&message);
        Self::default()
    }
}

impl consensus::participant::Participant<Candidate> {
    /// Leads after winning the election.
    fn lead(
        mut self,
        now: time::Instant,
    ) -> consensus::participant::Participant<consensus::leader::Leader> {
        let first = if self.core.is_forming() {
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
        leader.open_term(first, now);
        leader
    }
}

impl consensus::electing::Electing for Candidate {
    fn tally(&mut self) -> &mut consensus::tally::Tally {
        &mut self.tally
    }

    fn win(
        participant: consensus::participant::Participant<Self>,
        now: time::Instant,
    ) -> consensus::standing::Standing {
        consensus::standing::Standing::Leader(participant.lead(now))
    }

    fn wait(
        participant: consensus::participant::Participant<Self>,
    ) -> consensus::standing::Standing {
        consensus::standing::Standing::Candidate(participant)
    }
}

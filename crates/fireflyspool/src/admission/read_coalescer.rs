//! Coalescing of identical reads.

use std::time;

use crate::{admission, ids, outcome};

/// Reads under way, each with the callers that wait for its answer.
#[derive(Clone, Debug, Default)]
pub struct ReadCoalescer {
    runs: Vec<Run>,
}

#[derive(Clone, Debug)]
struct Run {
    key: admission::ReadKey,
    leader: ids::Ticket,
    kind: outcome::Kind,
    ends_at: time::Instant,
    /// Whether the caller of the leader disconnected.
    abandoned: bool,
    followers: Vec<admission::Reader>,
}

impl ReadCoalescer {
    /// Coalescer without reads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a read. It follows an identical one under way if that has no later
    /// deadline and is at least as urgent; otherwise it leads a run of its own.
    pub fn join(&mut self, key: admission::ReadKey, reader: admission::Reader) -> admission::Join {
        let can_follow = |run: &&mut Run| {
            run.kind <= reader.kind && run.ends_at <= reader.ends_at() && run.key == key
        };
        if let Some(run) = self.runs.iter_mut().find(can_follow) {
            let leader = run.leader;
            run.followers.push(reader);
            return admission::Join::Follow { leader };
        }
        self.runs.push(Run {
            key,
            leader: reader.ticket,
            kind: reader.kind,
            ends_at: reader.ends_at(),
            abandoned: false,
            followers: Vec::new(),
        });
        admission::Join::Lead
    }

    /// Ends the run of a leader and releases its followers.
    ///
    /// A follower with at least half of its time left does not accept an
    /// insufficient answer, because the leader's shorter deadline may have
    /// caused it. One such follower leads a new run, and others may follow it.
    pub fn finished(
        &mut self,
        leader: ids::Ticket,
        outcome: &outcome::Outcome,
        now: time::Instant,
    ) -> Vec<admission::Release> {
        let Some(position) = self.runs.iter().position(|run| run.leader == leader) else {
            return Vec::new();
        };
        let mut run = self.runs.swap_remove(position);
        run.followers.sort_by_key(admission::Reader::ends_at);
        let insufficient =
            matches!(outcome, outcome::Outcome::Partial(answer) if !answer.sufficient);
        let mut releases = Vec::new();
        for reader in run.followers {
            let left = reader.ends_at().saturating_duration_since(now);
            let ticket = reader.ticket;
            if !insufficient || left < reader.deadline / 2 {
                let outcome = reader.adopt(outcome, now);
                releases.push(admission::Release::Answered { ticket, outcome });
            } else if self.join(run.key.clone(), reader) == admission::Join::Lead {
                releases.push(admission::Release::Lead { ticket });
            }
        }
        releases
    }

    /// Removes a caller that disconnected. Returns the leader's ticket if no caller
    /// waits for its run any more, so that the run can be cancelled.
    pub fn leave(&mut self, ticket: ids::Ticket) -> Option<ids::Ticket> {
        let has_caller = |run: &Run| {
            let mut followers = run.followers.iter();
            run.leader == ticket || followers.any(|reader| reader.ticket == ticket)
        };
        let position = self.runs.iter().position(has_caller)?;
        let run = &mut self.runs[position];
        run.abandoned |= run.leader == ticket;
        run.followers.retain(|reader| reader.ticket != ticket);
        if !run.abandoned || !run.followers.is_empty() {
            return None;
        }
        Some(self.runs.swap_remove(position).leader)
    }

    /// Number of runs under way.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run is under way.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}

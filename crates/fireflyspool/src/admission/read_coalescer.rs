//! Identical reads that share one run.

use std::time;

use crate::{admission, ids, outcome};

/// Reads under way, with the callers that wait for each.
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
    /// Whether the caller of the leader went away.
    abandoned: bool,
    followers: Vec<admission::Reader>,
}

impl ReadCoalescer {
    /// Nothing under way.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a read. It waits for an identical one if that ends by this
    /// caller's deadline and is at least as urgent; otherwise it runs itself.
    pub fn join(&mut self, key: admission::ReadKey, reader: admission::Reader) -> admission::Join {
        let suits = |run: &&mut Run| {
            run.kind <= reader.kind && run.ends_at <= reader.ends_at() && run.key == key
        };
        if let Some(run) = self.runs.iter_mut().find(suits) {
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

    /// Ends the run of a leader and returns what its followers get.
    ///
    /// A follower that has most of its time left does not take over an
    /// insufficient answer, which the leader's shorter deadline may have
    /// caused. One of them leads a new run, and the others may follow it.
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

    /// Removes a caller that went away. Returns the ticket of the run to end
    /// if nobody waits for it any more.
    pub fn leave(&mut self, ticket: ids::Ticket) -> Option<ids::Ticket> {
        let concerns = |run: &Run| {
            let mut followers = run.followers.iter();
            run.leader == ticket || followers.any(|reader| reader.ticket == ticket)
        };
        let position = self.runs.iter().position(concerns)?;
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

    /// Whether nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}

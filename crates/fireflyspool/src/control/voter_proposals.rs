//! Proposals and the replies to their callers.

use std::time;

use tokio::sync::oneshot;

use crate::{
    consensus,
    control::{self, waiter},
    ids, roster, state,
};

/// Most claims or outcomes in one entry of the log.
const MAX_CLAIMS_PER_ENTRY: usize = 256;

impl control::Voter {
    pub(super) fn propose_command(
        &mut self,
        command: state::Command,
        reply: oneshot::Sender<control::ProposeReply>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let stamped = outlet.environment().wall_clock();
        let entry = state::Entry::Command { command, stamped };
        self.propose(&entry, waiter::Waiter::Command(reply), outlet, now);
    }

    /// Proposes all waiting claims, then all waiting outcomes, in batches of one entry each.
    pub(super) fn propose_claims(&mut self, outlet: &dyn control::Outlet, now: time::Instant) {
        let issued = outlet.environment().wall_clock();
        while !self.claims.is_empty() {
            let batch = self.claims.len().min(MAX_CLAIMS_PER_ENTRY);
            let (claims, replies) = self
                .claims
                .drain(..batch)
                .map(|(claim, reply)| (state::Claim { issued, ..claim }, reply))
                .unzip();
            let entry = state::Entry::Claims(claims);
            self.propose(&entry, waiter::Waiter::Claims(replies), outlet, now);
        }
        while !self.outcomes.is_empty() {
            let batch = self.outcomes.len().min(MAX_CLAIMS_PER_ENTRY);
            let (outcomes, replies) = self.outcomes.drain(..batch).unzip();
            let entry = state::Entry::ClaimOutcomes(outcomes);
            self.propose(&entry, waiter::Waiter::Outcomes(replies), outlet, now);
        }
    }

    pub(super) fn propose(
        &mut self,
        entry: &state::Entry,
        waiter: waiter::Waiter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiters.insert(ticket, waiter);
        let payload = entry.encode();
        self.step(consensus::Event::Propose { ticket, payload }, outlet, now);
    }

    /// Ends the wait for an entry that this replica did not commit.
    pub(super) fn fail_waiter(&mut self, ticket: ids::Ticket, reply: control::ProposeReply) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            waiter.fail(reply);
        }
    }

    /// Replies to renewals; runs last, so that each grant reflects every applied entry.
    pub(super) fn answer_renewals(&mut self, now: time::Instant) {
        for (request, reply) in self.renewals.drain(..) {
            let answer = match &mut self.roster {
                Some(roster) if self.replica.may_grant_leases(now) => {
                    roster::RenewReply::Granted(roster.renew(&request, &self.state, now))
                }
                _ => roster::RenewReply::NotLeader {
                    leader: self.replica.leader(),
                },
            };
            // The entry VM may have stopped waiting; an unreceived grant expires.
            let _ = reply.send(answer);
        }
    }

    /// Notifies those who wait for a revision that is in force by now.
    pub(super) fn answer_in_force(&mut self, now: time::Instant) {
        let Some(roster) = &self.roster else { return };
        let is_in_force = |revision: ids::Revision| {
            matches!(roster.in_force(revision, now), roster::InForce::Yes)
        };
        let waiting = std::mem::take(&mut self.in_force);
        for (revision, reply) in waiting {
            if is_in_force(revision) {
                let _ = reply.send(());
            } else {
                self.in_force.push((revision, reply));
            }
        }
    }
}

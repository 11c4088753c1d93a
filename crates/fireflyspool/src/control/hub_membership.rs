//! Joining the control group.

use std::{net, time};

use crate::{control, state};

impl control::HubDriver {
    /// Asks one control VM after the other to add this VM to the control group, until the
    /// applied log lists it.
    pub(super) fn join(
        &mut self,
        voter: &control::Voter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let identity = voter.folder.identity();
        let group = &voter.state.group;
        let listed = group.added.get(&identity.node);
        let is_listed = listed.is_some_and(|record| record.incarnation == identity.incarnation);
        // A VM that was told to stop and has started again joins again to be counted on.
        let is_leaving = group.leaving.contains_key(&identity.node) && !self.stopping;
        if !self.join.is_due(now) || (is_listed && !is_leaving) {
            return;
        }
        let candidates = self.join_candidates(voter, now);
        let Some(target) = self.join.next(&candidates, now) else {
            return;
        };
        let command = state::IdempotentCommand::Join {
            node: identity.node,
            incarnation: identity.incarnation,
            rpc: self.own.rpc,
        };
        outlet.send_idempotent(target, command);
    }

    /// Control VMs that this one knows of, itself included; the contacts of the settings may
    /// all be gone.
    fn join_candidates(&self, voter: &control::Voter, now: time::Instant) -> Vec<net::SocketAddr> {
        let mut candidates = self.contacts.clone();
        let members = voter.addresses().into_iter().map(|(_, rpc)| rpc);
        let others = self.hub.reachable_peers(now).into_iter().chain(members);
        for listener in others.chain([self.own.rpc]) {
            if !candidates.contains(&listener) {
                candidates.push(listener);
            }
        }
        candidates
    }

    pub(super) fn join_ended(
        &mut self,
        reply: Option<control::IdempotentReply>,
        now: time::Instant,
    ) {
        match &reply {
            Some(control::IdempotentReply::NotLeader { listener, .. }) => {
                self.join.refused(*listener, now);
            }
            Some(control::IdempotentReply::Done { .. }) => {}
            None => self.join.unanswered(now),
        }
        match reply {
            Some(control::IdempotentReply::Done {
                outcome: state::IdempotentOutcome::Retired,
            }) => {
                slog::warn!(
                    self.logger,
                    "this VM was replaced in the control group and joins again with a new identity"
                );
                self.retired = true;
            }
            other => {
                slog::info!(self.logger, "request to join the control group ended";
                    "answer" => ?other);
            }
        }
    }
}

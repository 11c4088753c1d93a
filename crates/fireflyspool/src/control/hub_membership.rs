//! Joining the control group and replacing its silent members.

use std::{net, time};

use crate::{control, ids, state};

/// Interval between checks for a silent member.
const REPLACE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Silence after which a member of the control group is replaced by one that
/// joined later. The remaining majority keeps working through shorter partitions.
const REPLACE_AFTER: time::Duration = time::Duration::from_secs(8);

impl control::HubDriver {
    /// Member of the control group to retire: silent since before the latest member joined,
    /// and for longer than `REPLACE_AFTER`.
    pub fn find_replaced(
        &mut self,
        voter: &control::Voter,
        now: time::Instant,
    ) -> Option<ids::NodeId> {
        if now < self.replace_due {
            return None;
        }
        self.replace_due = now + REPLACE_INTERVAL;
        let latest_join = self.first_listed.values().max().copied()?;
        let is_replaced = |listener: &net::SocketAddr| {
            let last_seen = self.hub.last_seen(*listener);
            *listener != self.own.rpc
                && last_seen.is_some_and(|last_seen| {
                    last_seen < latest_join
                        && now.saturating_duration_since(last_seen) > REPLACE_AFTER
                })
        };
        let group = voter.addresses();
        let found = group.iter().find(|(_, listener)| is_replaced(listener));
        found.map(|(node, _)| *node)
    }

    /// Asks one control VM after the other to add this VM to the control group, until the
    /// applied log lists it.
    pub(super) fn join(
        &mut self,
        voter: &control::Voter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let identity = voter.folder.identity();
        let listed = voter.state.group.added.get(&identity.node);
        if !self.join.is_due(now)
            || listed.is_some_and(|record| record.incarnation == identity.incarnation)
        {
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

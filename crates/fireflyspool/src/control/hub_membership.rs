//! Membership of the control group, as the hub's side keeps it.

use std::{net, time};

use crate::{control, ids, state};

/// Pause between two requests to join the control group, or to retire a member.
const JOIN_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Silence after which a member of the control group gives way to one that
/// joined later. A majority outlasts shorter partitions.
const REPLACE_AFTER: time::Duration = time::Duration::from_secs(8);

impl control::HubDriver {
    /// Member of the control group that a later one replaces.
    pub fn find_replaced(
        &mut self,
        voter: &control::Voter,
        now: time::Instant,
    ) -> Option<ids::NodeId> {
        if now < self.replace_due {
            return None;
        }
        self.replace_due = now + JOIN_PAUSE;
        let newest = self.listed.values().max().copied()?;
        let is_replaced = |listener: &net::SocketAddr| {
            let heard = self.hub.last_heard(*listener);
            *listener != self.own.rpc
                && heard.is_some_and(|heard| {
                    heard < newest && now.saturating_duration_since(heard) > REPLACE_AFTER
                })
        };
        let group = voter.addresses();
        let found = group.iter().find(|(_, listener)| is_replaced(listener));
        found.map(|(node, _)| *node)
    }

    /// Asks to be listed in the control group until the log lists this VM.
    pub(super) fn join(
        &mut self,
        voter: &control::Voter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let identity = voter.folder.identity();
        let listed = voter.state.group.added.get(&identity.node);
        if now < self.join_due
            || listed.is_some_and(|record| record.incarnation == identity.incarnation)
        {
            return;
        }
        self.join_due = now + JOIN_PAUSE;
        let order = state::IdempotentCommand::Join {
            node: identity.node,
            incarnation: identity.incarnation,
            rpc: self.own.rpc,
        };
        let mut targets = self.contacts.clone();
        if !targets.contains(&self.own.rpc) {
            targets.push(self.own.rpc);
        }
        self.join_target = (self.join_target + 1) % targets.len();
        outlet.send_order(targets[self.join_target], order);
    }

    pub(super) fn join_ended(&mut self, reply: Option<control::OrderReply>) {
        match reply {
            Some(control::OrderReply::Done {
                outcome: state::IdempotentOutcome::Retired,
            }) => {
                slog::warn!(self.logger, "this VM was replaced and must join anew");
                self.retired = true;
            }
            other => slog::info!(self.logger, "asked to join"; "answer" => ?other),
        }
    }
}

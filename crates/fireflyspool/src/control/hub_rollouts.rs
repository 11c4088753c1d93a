//! Steps of the rollouts whose counts this control VM collects.

use std::time;

use crate::{control, rollout, state};

/// Time between two decisions; the applied log includes a proposal well within it.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time after which a proposal without a result is made again; longer than its call may take.
const PROPOSAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

impl control::HubDriver {
    /// When the next decision is due; `None` without a rollout.
    pub(super) fn next_advance(&self, now: time::Instant) -> Option<time::Instant> {
        // A decision that is overdue waits for the replica, which is being opened.
        let due = match self.advance_due > now {
            true => self.advance_due,
            false => now + DECISION_INTERVAL,
        };
        (!self.collector.is_empty()).then_some(due)
    }

    /// Decides on the rollouts that this VM collects, and proposes the first step to the log.
    pub(super) fn advance_rollouts(
        &mut self,
        voter: &control::Voter,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        if self.advance_due > now || self.collector.is_empty() {
            return;
        }
        self.advance_due = now + DECISION_INTERVAL;
        // After a suspension or a partition the counts are old, and so are the other control VMs
        // that this one knows; another one may have collected meanwhile.
        if !self.hub.has_quorum(now) {
            return;
        }
        let wall_clock = outlet.environment().wall_clock();
        let Some(command) = self.next_step(wall_clock, now) else {
            return;
        };
        if let Some(target) = self.leader_or_next(Some(voter), now) {
            self.advance_due = now + PROPOSAL_TIMEOUT;
            outlet.send_advance(target, command);
        }
    }

    fn next_step(&self, wall_clock: u64, now: time::Instant) -> Option<state::IdempotentCommand> {
        let mut rollouts = self.collector.rollouts();
        rollouts.find_map(|(service, rollout)| {
            if !self.hub.collects(service, now) {
                return None;
            }
            let situation = rollout::Situation {
                elapsed: rollout.elapsed(wall_clock),
                servers: self.hub.serving(service, &rollout.target),
            };
            let step = self.collector.decide(service, situation, now);
            if step == rollout::Step::Hold {
                return None;
            }
            let (old, target) = self.collector.totals(service);
            slog::info!(self.logger, "step of a rollout proposed";
                "service" => service, "target" => &rollout.target, "step" => ?step,
                "share" => rollout.state.share, "old_responses" => old,
                "target_responses" => target, "target_servers" => situation.servers,
                "elapsed_ms" => wall_clock.saturating_sub(rollout.started));
            Some(state::IdempotentCommand::AdvanceRollout {
                service: service.clone(),
                number: rollout.number,
                step,
                stamped: wall_clock,
            })
        })
    }

    /// Handles the end of a proposal; the decision is made anew, since the log may hold it.
    pub(super) fn advance_ended(
        &mut self,
        reply: Option<control::IdempotentReply>,
        now: time::Instant,
    ) {
        self.advance_due = now + DECISION_INTERVAL;
        match reply {
            Some(control::IdempotentReply::Done { .. }) => {}
            Some(control::IdempotentReply::NotLeader { listener, .. }) => self.leader = listener,
            None => slog::warn!(self.logger, "step of a rollout not acknowledged"),
        }
    }
}

//! Recording of departures in the replicated log.

use std::{net, time};

use crate::{control, registry, state};

impl control::HubDriver {
    /// Sends a command with departures to the leader, as far as it is known.
    pub(super) fn record(
        &mut self,
        departures: Vec<registry::Departure>,
        voter: Option<&control::Voter>,
        outlet: &dyn control::Outlet,
        now: time::Instant,
    ) {
        let Some(target) = self.leader_or_next(voter, now) else {
            self.hub.record_ended(None, now);
            return;
        };
        let stamped = outlet.environment().wall_clock();
        let command = state::IdempotentCommand::RecordDepartures {
            departures,
            stamped,
        };
        outlet.send_departures(target, command);
    }

    pub(super) fn record_ended(
        &mut self,
        reply: Option<control::IdempotentReply>,
        now: time::Instant,
    ) {
        let revision = match reply {
            Some(control::IdempotentReply::Done {
                outcome: state::IdempotentOutcome::Recorded { revision },
            }) => Some(revision),
            Some(control::IdempotentReply::NotLeader { listener, .. }) => {
                self.leader = listener;
                None
            }
            other => {
                slog::warn!(self.logger, "departures not recorded"; "answer" => ?other);
                None
            }
        };
        self.hub.record_ended(revision, now);
    }

    /// The leader that the last reply or the replica of this VM names, else the next control VM.
    pub(super) fn leader_or_next(
        &mut self,
        voter: Option<&control::Voter>,
        now: time::Instant,
    ) -> Option<net::SocketAddr> {
        let known = self.leader.take();
        let known = known.or_else(|| voter.and_then(control::Voter::leader_listener));
        if known.is_some() {
            return known;
        }
        let mut candidates = self.hub.reachable_peers(now);
        candidates.extend(&self.contacts);
        self.asked += 1;
        let position = self.asked.checked_rem(candidates.len())?;
        Some(candidates[position])
    }
}

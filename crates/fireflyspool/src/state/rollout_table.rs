//! Latest rollout of each service.
//!
//! Time is the latest one that a command states, so it goes on from where it was when all
//! control VMs restart, and a clock that is set back does not move it.

use crate::{ids, rollout, sorted, state};

/// Most services with a rollout; more than a configuration has services.
const MAX_ROLLOUTS: usize = 4_096;

/// Rollouts by service, with a revision that each change raises.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RolloutTable {
    /// Number of changes so far.
    revision: ids::Revision,
    /// Latest time that a command stated, in milliseconds since the Unix epoch.
    clock: u64,
    rollouts: sorted::SortedMap<ids::ServiceName, rollout::AnyRollout>,
}

impl RolloutTable {
    /// Number of changes so far.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Latest rollout of a service.
    pub fn get(&self, service: &str) -> Option<&rollout::AnyRollout> {
        self.rollouts.get(service)
    }

    /// Rollouts in progress, ascending by service.
    pub fn in_service(
        &self,
    ) -> impl Iterator<Item = (&ids::ServiceName, &rollout::Rollout<rollout::InService>)> {
        self.rollouts.iter().filter_map(|(service, any)| match any {
            rollout::AnyRollout::InService(rollout) => Some((service, rollout)),
            _ => None,
        })
    }

    /// Starts a rollout, unless the same one was started before or another one is in progress.
    pub(super) fn start(
        &mut self,
        service: &str,
        start: &rollout::Start,
    ) -> state::IdempotentOutcome {
        self.clock = self.clock.max(start.stamped);
        match self.rollouts.get(service) {
            Some(known) if known.is_repeated_by(start) => {
                return state::IdempotentOutcome::Accepted;
            }
            Some(rollout::AnyRollout::InService(_)) => {
                return state::IdempotentOutcome::RolloutInProgress;
            }
            None if self.rollouts.len() >= MAX_ROLLOUTS => return state::IdempotentOutcome::Full,
            _ => {}
        }
        self.revision += 1;
        let started = rollout::Rollout::start(self.revision, start, self.clock);
        let started = rollout::AnyRollout::InService(started);
        self.rollouts.insert(service.to_owned(), started);
        state::IdempotentOutcome::Accepted
    }

    /// Applies a step to the rollout in progress with this number; it has no effect on others.
    pub(super) fn advance(
        &mut self,
        service: &str,
        number: ids::Revision,
        step: rollout::Step,
        stamped: u64,
    ) {
        self.clock = self.clock.max(stamped);
        let Some(known) = self.rollouts.get_mut(service) else {
            return;
        };
        if known.number() != number {
            return;
        }
        let advanced = known.clone().advance(step, self.clock);
        if advanced != *known {
            *known = advanced;
            self.revision += 1;
        }
    }
}

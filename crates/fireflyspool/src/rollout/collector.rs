//! Collection of the counts of all entry VMs.

use std::time;

use crate::rollout::watch;
use crate::{ids, rollout, sorted, state};

/// Rollouts in progress, with the counts that entry VMs have reported to this control VM.
#[derive(Debug)]
pub struct Collector {
    limits: rollout::Limits,
    watches: sorted::SortedMap<ids::ServiceName, watch::Watch>,
}

impl Collector {
    /// Creates a collector without counts.
    pub fn new(limits: rollout::Limits) -> Self {
        Self {
            limits,
            watches: sorted::SortedMap::new(),
        }
    }

    /// Takes over the rollouts in progress from the log.
    ///
    /// `wall_clock` is in milliseconds since the Unix epoch.
    pub fn update(&mut self, table: &state::RolloutTable, wall_clock: u64, now: time::Instant) {
        self.watches.retain(|service, watch| {
            let known = table.get(service);
            known.is_some_and(|known| {
                matches!(known, rollout::AnyRollout::InService(_))
                    && known.number() == watch.rollout.number
            })
        });
        for (service, rollout) in table.in_service() {
            let make = || watch::Watch::new(rollout.clone(), rollout.elapsed(wall_clock), now);
            let watch = self.watches.get_or_insert_with(service.clone(), make);
            watch.update(rollout, now);
        }
    }

    /// Adds the report of an entry VM; one about a rollout that is not in progress is ignored.
    pub fn add(&mut self, report: rollout::Report, now: time::Instant) {
        if let Some(watch) = self.watches.get_mut(&report.service)
            && watch.rollout.number == report.number
        {
            watch.add(report, now);
        }
    }

    /// Rollouts in progress, ascending by service.
    pub fn rollouts(
        &self,
    ) -> impl Iterator<Item = (&ids::ServiceName, &rollout::Rollout<rollout::InService>)> {
        let watches = self.watches.iter();
        watches.map(|(service, watch)| (service, &watch.rollout))
    }

    /// Whether no rollout is in progress.
    pub fn is_empty(&self) -> bool {
        self.watches.is_empty()
    }

    /// Responses of the old and of the target version of a service that were reported.
    pub fn totals(&self, service: &str) -> (u64, u64) {
        let watch = self.watches.get(service);
        watch.map_or((0, 0), watch::Watch::totals)
    }

    /// Decides on the rollout of a service.
    pub fn decide(
        &self,
        service: &str,
        situation: rollout::Situation,
        now: time::Instant,
    ) -> rollout::Step {
        let watch = self.watches.get(service);
        watch.map_or(rollout::Step::Hold, |watch| {
            watch.decide(situation, &self.limits.stages(), now)
        })
    }
}

//! What a collector knows of one rollout.

use std::time;

use crate::rollout::threshold;
use crate::{ids, rollout, sorted};

/// Part of the duration at the end in which a good version is completed.
const MARGIN_PART: u32 = 6;

/// Longest such time: enough for a new collector after a failure, an election and the commit.
const MAX_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Time for which a collector must have watched a rollout before it completes it. Entry VMs
/// report to a new collector within that time.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Part of the duration after which the share is raised although there are few responses.
const STAGE_PART: u32 = 6;

/// Least part of the duration for a stage.
const MIN_STAGE_PART: u32 = 12;

/// Responses of the target version in a stage before the share is raised early.
const STAGE_RESPONSES: u64 = 20;

/// Responses of the old version from which on too few of the target version count against it.
const BUSY_RESPONSES: u64 = 500;

/// Least responses of the target version of a busy service.
const MIN_RESPONSES: u64 = 10;

type Cells = sorted::SortedMap<(String, Option<ids::ServerName>), rollout::Counts>;

/// Evidence on one rollout, with the latest report of each entry VM.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) rollout: rollout::Rollout<rollout::InService>,
    evidence: rollout::Evidence,
    members: sorted::SortedMap<ids::Incarnation, Cells>,
    since: time::Instant,
    /// Whether another collector may have counted before.
    late: bool,
    /// When the share was found raised, and the responses of the target version then.
    stage_since: time::Instant,
    stage_responses: u64,
}

impl Watch {
    /// Starts to watch a rollout that was started `elapsed` ago.
    pub(super) fn new(
        rollout: rollout::Rollout<rollout::InService>,
        elapsed: time::Duration,
        now: time::Instant,
    ) -> Self {
        Self {
            late: elapsed > SETTLING_TIME,
            evidence: rollout::Evidence::new(rollout.duration),
            rollout,
            members: sorted::SortedMap::new(),
            since: now,
            stage_since: now,
            stage_responses: 0,
        }
    }

    /// Takes over the state of the rollout from the log.
    pub(super) fn update(
        &mut self,
        rollout: &rollout::Rollout<rollout::InService>,
        now: time::Instant,
    ) {
        if rollout.state.share != self.rollout.state.share {
            self.stage_since = now;
            self.stage_responses = self.evidence.totals().1;
        }
        self.rollout = rollout.clone();
    }

    /// Adds what an entry VM has counted since its last report.
    pub(super) fn add(&mut self, report: rollout::Report, now: time::Instant) {
        let is_history = self.late && !self.members.contains_key(&report.member);
        let known = self.members.get_or_insert_with(report.member, Cells::new);
        for cell in report.cells {
            let key = (cell.route.clone(), cell.server.clone());
            let former = known.get_or_insert_with(key, rollout::Counts::default);
            let counts = cell.counts.since(former);
            if counts.total() > 0 {
                *former = cell.counts;
                let cell = rollout::Cell { counts, ..cell };
                match is_history {
                    true => self.evidence.add_history(&cell, now),
                    false => self.evidence.add(&cell, now),
                }
            }
        }
    }

    /// Responses of the old and of the target version.
    pub(super) fn totals(&self) -> (u64, u64) {
        self.evidence.totals()
    }

    /// Decides what to do now; `stages` are the shares in permille.
    pub(super) fn decide(
        &self,
        situation: rollout::Situation,
        stages: &[u32],
        now: time::Instant,
    ) -> rollout::Step {
        let left = self.rollout.duration.saturating_sub(situation.elapsed);
        if left.is_zero() {
            let reason = rollout::Reason::DeadlinePassed;
            return rollout::Step::RollBack { reason };
        }
        if let Some(reason) = self.evidence.fault(threshold::Threshold::ONGOING) {
            return rollout::Step::RollBack { reason };
        }
        let margin = (self.rollout.duration / MARGIN_PART).min(MAX_MARGIN);
        match left <= margin {
            true => self.conclude(situation, left <= margin / 3, now),
            false => self.raise(stages, now),
        }
    }

    /// Decides at the end; waits with what may still change unless it is `urgent`.
    fn conclude(
        &self,
        situation: rollout::Situation,
        urgent: bool,
        now: time::Instant,
    ) -> rollout::Step {
        if let Some(reason) = self.evidence.fault(threshold::Threshold::FINAL) {
            return rollout::Step::RollBack { reason };
        }
        let (old, target) = self.evidence.totals();
        let unsettled = now.saturating_duration_since(self.since) < SETTLING_TIME;
        let reason = match situation.servers {
            0 => Some(rollout::Reason::NoServers),
            _ if old >= BUSY_RESPONSES && target < MIN_RESPONSES => {
                Some(rollout::Reason::TooFewResponses)
            }
            _ => None,
        };
        match reason {
            _ if unsettled && !urgent => rollout::Step::Hold,
            Some(reason) if urgent => rollout::Step::RollBack { reason },
            Some(_) => rollout::Step::Hold,
            None => rollout::Step::Complete,
        }
    }

    fn raise(&self, stages: &[u32], now: time::Instant) -> rollout::Step {
        let current = self.rollout.state.share;
        let next = stages.iter().copied().find(|share| *share > current);
        let age = now.saturating_duration_since(self.stage_since);
        let responses = self.evidence.totals().1 - self.stage_responses;
        let ready = match responses >= STAGE_RESPONSES {
            true => age >= self.rollout.duration / MIN_STAGE_PART,
            false => age >= self.rollout.duration / STAGE_PART,
        };
        match next {
            Some(share)
                if ready
                    && self
                        .evidence
                        .fault(threshold::Threshold::SUSPICION)
                        .is_none() =>
            {
                rollout::Step::Raise { share }
            }
            _ => rollout::Step::Hold,
        }
    }
}

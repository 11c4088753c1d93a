//! Checks of the results that a dispatcher reports.

use fireflyspool::{dispatch, view};

use crate::{driver_attempt, fixture, simulation, sub_history};

impl simulation::Simulation {
    pub(crate) fn check_reply(&mut self, id: u64, outcome: &dispatch::SubOutcome) {
        let Some(sub) = self.subs.get_mut(&id) else {
            self.report_violation(format!("reply to unknown sub-request {id}"));
            return;
        };
        let already_ended = std::mem::replace(&mut sub.ended, true);
        let ran = sub.ran;
        let hits = Self::expected_hits(&sub.request);
        let in_flight = |sent: &driver_attempt::DriverAttempt| sent.sub == id && sent.open;
        let wrong = match outcome {
            _ if already_ended => Some("second result"),
            dispatch::SubOutcome::Answered { hits: got, .. } => {
                (*got != hits || hits.is_empty()).then_some("answer of another request")
            }
            dispatch::SubOutcome::Submitted { receipt, .. } => {
                (*receipt != format!("receipt-{id}")).then_some("receipt of another request")
            }
            dispatch::SubOutcome::NotRun { cause, .. } => {
                let pending = self.sent.values().any(in_flight);
                let has_cause =
                    *cause != dispatch::SkipCause::NoServer || !self.has_last_replica(id);
                let false_claim =
                    (ran || pending).then_some("\"not run\" although it ran or may run");
                false_claim.or((!has_cause).then_some("no server although one is left"))
            }
            dispatch::SubOutcome::Failed { .. } => {
                let sent = self.sent.values().any(|sent| sent.sub == id);
                (!sent).then_some("failed but never sent")
            }
        };
        if let Some(wrong) = wrong {
            self.report_violation(format!("sub-request {id}: {wrong}: {outcome:?}"));
        }
    }

    /// Whether all replicas are usable and owned by this VM, so that one must not be ejected.
    fn has_last_replica(&self, id: u64) -> bool {
        let sub = self.subs.get(&id).expect("a sub-request of this run");
        if self.draining || !self.view.may_act(self.now) || is_submission(sub) {
            return false;
        }
        let replicas = (0..simulation::SERVERS).filter(|index| {
            let record = self.record(*index);
            hosts(record, sub) && self.view.is_eligible(record) && record.owner.is_some()
        });
        let replicas = replicas.collect::<Vec<_>>();
        let own = |index: &usize| self.record(*index).owner == Some(fixture::NODE);
        let usable = |index: &usize| {
            let server = &self.servers[*index];
            let leaving = server.replied_gone || server.releasing || server.released;
            !(leaving || server.not_hosted || sub.refused_by.contains(index))
        };
        // A connection lost before any byte was sent excludes a server for this sub-request only.
        let tried = self.sent.values().any(|sent| sent.sub == id);
        !tried
            && replicas.iter().all(own)
            && replicas.iter().any(usable)
            && replicas.iter().all(usable)
    }
}

pub(crate) fn is_submission(sub: &sub_history::SubHistory) -> bool {
    matches!(sub.request.work, dispatch::Work::Submit { .. })
}

pub(crate) fn hosts(record: &view::ServerRecord, sub: &sub_history::SubHistory) -> bool {
    match &sub.request.work {
        dispatch::Work::Search { shard, .. } => record
            .announcement
            .hosted
            .contains(&fixture::hosted(*shard)),
        dispatch::Work::Submit { .. } => true,
    }
}

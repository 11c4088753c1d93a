//! Checks of the results that a dispatcher reports.

use fireflyspool::{dispatch, view};

use crate::{fixture, sent, sub, world};

impl world::World {
    pub(crate) fn check_reply(&mut self, id: u64, outcome: &dispatch::SubOutcome) {
        let Some(sub) = self.subs.get_mut(&id) else {
            self.violate(format!("reply to unknown sub-request {id}"));
            return;
        };
        let twice = std::mem::replace(&mut sub.ended, true);
        let ran = sub.ran;
        let hits = Self::expected_hits(&sub.request);
        let in_flight = |sent: &sent::Sent| sent.sub == id && sent.open;
        let wrong = match outcome {
            _ if twice => Some("second result"),
            dispatch::SubOutcome::Answered { hits: got, .. } => {
                (*got != hits || hits.is_empty()).then_some("answer of another request")
            }
            dispatch::SubOutcome::Submitted { receipt, .. } => {
                (*receipt != format!("receipt-{id}")).then_some("receipt of another request")
            }
            dispatch::SubOutcome::NotRun { cause, .. } => {
                let pending = self.sent.values().any(in_flight);
                let hopeless = *cause != dispatch::SkipCause::NoServer || !self.is_stranded(id);
                let lie = (ran || pending).then_some("\"not run\" although it ran or may run");
                lie.or((!hopeless).then_some("no server although one is left"))
            }
            dispatch::SubOutcome::Failed { .. } => {
                let sent = self.sent.values().any(|sent| sent.sub == id);
                (!sent).then_some("failed but never sent")
            }
        };
        if let Some(wrong) = wrong {
            self.violate(format!("sub-request {id}: {wrong}: {outcome:?}"));
        }
    }

    /// Whether a usable replica exists here and none elsewhere, so that it must not be ejected.
    fn is_stranded(&self, id: u64) -> bool {
        let sub = self.subs.get(&id).expect("a sub-request of this run");
        if self.draining || !self.view.may_act(self.now) || is_submission(sub) {
            return false;
        }
        let replicas = (0..world::SERVERS).filter(|index| {
            let record = self.record(*index);
            hosts(record, sub) && self.view.is_eligible(record) && record.owner.is_some()
        });
        let replicas = replicas.collect::<Vec<_>>();
        let own = |index: &usize| self.record(*index).owner == Some(fixture::NODE);
        let usable = |index: &usize| {
            let server = &self.servers[*index];
            let given_up = server.said_leaving || server.given_up || server.released;
            !(given_up || server.denied || sub.refused_by.contains(index))
        };
        // A break before any byte left excludes a server for one sub-request only.
        let tried = self.sent.values().any(|sent| sent.sub == id);
        !tried
            && replicas.iter().all(own)
            && replicas.iter().any(usable)
            && replicas.iter().all(usable)
    }
}

pub(crate) fn is_submission(sub: &sub::Sub) -> bool {
    matches!(sub.request.work, dispatch::Work::Submit { .. })
}

pub(crate) fn hosts(record: &view::ServerRecord, sub: &sub::Sub) -> bool {
    match &sub.request.work {
        dispatch::Work::Search { shard, .. } => record
            .announcement
            .hosted
            .contains(&fixture::hosted(*shard)),
        dispatch::Work::Submit { .. } => true,
    }
}

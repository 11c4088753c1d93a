//! Acceptance, requeueing and results of sub-requests.

use std::time;

use crate::dispatch::{attempt, backlog, pending_sub, sub_state, target};
use crate::{backend, dispatch, ids, outcome, view};

impl dispatch::Dispatcher {
    pub(super) fn submit(
        &mut self,
        request: dispatch::SubRequest,
        view: &view::View,
        now: time::Instant,
    ) {
        let key = (request.coordinator, request.incarnation, request.sub);
        if self.subs.get(key).is_some() {
            // Duplicate: the first copy gets the reply.
            return;
        }
        let target = self.backlog.find(&target_of(&request));
        let entry = Box::new(pending_sub::PendingSub {
            arrived: now,
            deadline: now + request.remaining,
            target: target.unwrap_or(target::TargetKey::MAX),
            sequence: 0,
            behind_hedges: !(request.hedge && self.config.hedges_first),
            refusal: None,
            request,
        });
        if let Some((cause, retry_after)) = self.reject_cause(&entry, view, now) {
            self.skip(entry, cause, retry_after, now);
            return;
        }
        let target = entry.target;
        self.enqueue(entry);
        self.place(target, key, view, now);
    }

    /// Why a new sub-request is not accepted, with the time after which to retry.
    fn reject_cause(
        &self,
        entry: &pending_sub::PendingSub,
        view: &view::View,
        now: time::Instant,
    ) -> Option<(dispatch::SkipCause, Option<time::Duration>)> {
        if self.draining || entry.request.service != self.service {
            return Some((dispatch::SkipCause::NoServer, None));
        }
        if self.backlog.len() >= self.queue_limit(&entry.request) {
            let retry_after = self.times.quantile(500, now);
            return Some((dispatch::SkipCause::QueueFull, retry_after));
        }
        self.skip_cause(entry, view, now)
    }

    /// Why a sub-request, new or refused by a server, cannot wait for a permit.
    fn skip_cause(
        &self,
        entry: &pending_sub::PendingSub,
        view: &view::View,
        now: time::Instant,
    ) -> Option<(dispatch::SkipCause, Option<time::Duration>)> {
        if !view.may_act(now) {
            return Some((dispatch::SkipCause::NoLease, None));
        }
        if self.suspects.is_refused(entry.request.fingerprint, now) {
            return Some((dispatch::SkipCause::Suspect, None));
        }
        if entry.deadline <= self.latest_start(now) {
            return Some((dispatch::SkipCause::Deadline, None));
        }
        self.unservable_cause(entry, now)
    }

    /// Queue length up to which a sub-request is accepted.
    ///
    /// The remaining room is reserved for hedges and more urgent kinds, which
    /// would otherwise be refused while less urgent ones wait.
    fn queue_limit(&self, request: &dispatch::SubRequest) -> usize {
        let limit = self.config.queue_limit;
        match request.kind {
            _ if request.hedge => limit,
            outcome::Kind::Urgent => limit,
            outcome::Kind::Interactive => limit - limit / 10,
            outcome::Kind::Deferrable => limit - limit / 4,
        }
    }

    /// Deadlines up to this time cannot be met by an attempt sent now.
    pub(super) fn latest_start(&self, now: time::Instant) -> time::Instant {
        // 10th percentile: few answers are faster, and stragglers hardly raise it.
        now + self.times.quantile(100, now).unwrap_or_default()
    }

    pub(super) fn enqueue(&mut self, mut entry: Box<pending_sub::PendingSub>) {
        let key = entry.key();
        self.sequence += 1;
        entry.sequence = self.sequence;
        let index = self.backlog.push(entry);
        self.subs.insert(key, sub_state::SubState::Waiting(index));
    }

    /// Reports an attempt that may have run as failed; it keeps its permit.
    pub(super) fn fail_attempt(&mut self, id: ids::AttemptId, cause: dispatch::FailureCause) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.reported {
            return;
        }
        attempt.reported = true;
        let key = attempt.sub.key();
        let server = self.fleet.get(attempt.server);
        let server = server.map(|server| server.core().name.clone());
        self.report(key, dispatch::SubOutcome::Failed { server, cause });
    }

    pub(super) fn skip_queued(
        &mut self,
        index: backlog::EntryIndex,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        now: time::Instant,
    ) {
        if let Some(entry) = self.backlog.take(index) {
            self.skip(entry, cause, retry_after, now);
        }
    }

    /// Ends a sub-request that has not run.
    pub(super) fn skip(
        &mut self,
        entry: Box<pending_sub::PendingSub>,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        now: time::Instant,
    ) {
        let reason = dispatch::PlacementReason::Skipped(cause);
        let decision = self.decision(&entry, None, reason, now);
        self.actions.push(dispatch::Action::Log(decision));
        let outcome = dispatch::SubOutcome::NotRun { cause, retry_after };
        self.report(entry.key(), outcome);
    }

    pub(super) fn report(&mut self, key: pending_sub::SubKey, outcome: dispatch::SubOutcome) {
        self.subs.remove(key);
        let (coordinator, incarnation, sub) = key;
        self.actions.push(dispatch::Action::Reply {
            coordinator,
            incarnation,
            sub,
            outcome,
        });
    }

    /// Queues a sub-request again that a server did not run, or ends it.
    pub(super) fn requeue(
        &mut self,
        attempt: attempt::Attempt,
        server: &str,
        cause: dispatch::SkipCause,
        was_sent: bool,
        view: &view::View,
        now: time::Instant,
    ) {
        if attempt.reported {
            return;
        }
        let mut entry = attempt.sub;
        entry.request.excluded.push(server.to_owned());
        entry.refusal = Some(cause);
        // A submission is sent at most once, even if it was refused.
        let sent_once = was_sent && entry.is_submission();
        let skip_cause = self.skip_cause(&entry, view, now);
        if let Some((cause, retry_after)) = skip_cause.or(sent_once.then_some((cause, None))) {
            self.skip(entry, cause, retry_after, now);
            return;
        }
        let (target, key) = (entry.target, entry.key());
        self.enqueue(entry);
        self.place(target, key, view, now);
    }
}

/// Target of a sub-request.
pub(super) fn target_of(request: &dispatch::SubRequest) -> target::Target {
    match &request.work {
        dispatch::Work::Search {
            snapshot, shard, ..
        } => target::Target::Shard(backend::HostedShard {
            collection: snapshot.collection.clone(),
            version: snapshot.version,
            shard: *shard,
        }),
        dispatch::Work::Submit { .. } => target::Target::Any,
    }
}

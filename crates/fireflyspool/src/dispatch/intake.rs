//! Acceptance, cancellation and the end of sub-requests.

use std::time;

use crate::dispatch::{attempt, backlog, place, target, waiting};
use crate::{backend, dispatch, ids, outcome, view};

impl dispatch::Dispatcher {
    pub(super) fn submit(
        &mut self,
        request: dispatch::SubRequest,
        view: &view::View,
        now: time::Instant,
    ) {
        let key = (request.coordinator, request.incarnation, request.sub);
        if self.places.get(key).is_some() {
            // A duplicate; the one that is known gets the reply.
            return;
        }
        let target = self.backlog.find(&target_of(&request));
        let entry = Box::new(waiting::Waiting {
            arrived: now,
            deadline: now + request.remaining,
            target: target.unwrap_or(target::TargetKey::MAX),
            sequence: 0,
            behind_hedges: !(request.hedge && self.config.hedges_first),
            refusal: None,
            request,
        });
        if let Some((cause, retry_after)) = self.refusal(&entry, view, now) {
            self.skip(entry, cause, retry_after, now);
            return;
        }
        let target = entry.target;
        self.enqueue(entry);
        self.place(target, key, view, now);
    }

    /// Cause for which a new sub-request is not accepted.
    fn refusal(
        &self,
        entry: &waiting::Waiting,
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
        self.hindrance(entry, view, now)
    }

    /// Cause for which a sub-request cannot wait, whether it is new or was refused by a server.
    fn hindrance(
        &self,
        entry: &waiting::Waiting,
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
        self.verdict(entry, now)
    }

    /// Part of the queue that a sub-request may fill.
    ///
    /// The rest is kept for more urgent ones, which would otherwise be refused
    /// while others wait.
    fn queue_limit(&self, request: &dispatch::SubRequest) -> usize {
        let limit = self.config.queue_limit;
        match request.kind {
            _ if request.hedge => limit,
            outcome::Kind::Urgent => limit,
            outcome::Kind::Interactive => limit - limit / 10,
            outcome::Kind::Deferrable => limit - limit / 4,
        }
    }

    /// Deadlines up to this time cannot be met by something sent now.
    pub(super) fn latest_start(&self, now: time::Instant) -> time::Instant {
        // The 10th percentile: few answers are faster, and a slow phase does not raise it much.
        now + self.times.quantile(100, now).unwrap_or_default()
    }

    pub(super) fn enqueue(&mut self, mut entry: Box<waiting::Waiting>) {
        let key = entry.key();
        self.sequence += 1;
        entry.sequence = self.sequence;
        let position = self.backlog.push(entry);
        self.places.insert(key, place::Place::Waiting(position));
    }

    /// Reports the result of an attempt that may have run; its permit is still held.
    pub(super) fn fail_attempt(&mut self, id: ids::AttemptId, cause: dispatch::FailureCause) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if attempt.reported {
            return;
        }
        attempt.reported = true;
        let key = attempt.entry.key();
        let server = self.fleet.get(attempt.server);
        let server = server.map(|server| server.core().name.clone());
        self.report(key, dispatch::SubOutcome::Failed { server, cause });
    }

    pub(super) fn skip_position(
        &mut self,
        position: backlog::Position,
        cause: dispatch::SkipCause,
        retry_after: Option<time::Duration>,
        now: time::Instant,
    ) {
        if let Some(entry) = self.backlog.take(position) {
            self.skip(entry, cause, retry_after, now);
        }
    }

    /// Ends a sub-request of which nothing ran.
    pub(super) fn skip(
        &mut self,
        entry: Box<waiting::Waiting>,
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

    pub(super) fn report(&mut self, key: waiting::SubKey, outcome: dispatch::SubOutcome) {
        self.places.remove(key);
        let (coordinator, incarnation, sub) = key;
        self.actions.push(dispatch::Action::Reply {
            coordinator,
            incarnation,
            sub,
            outcome,
        });
    }

    /// Puts a sub-request that a server did not run back into the queue, or ends it.
    pub(super) fn put_back(
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
        let mut entry = attempt.entry;
        entry.request.excluded.push(server.to_owned());
        entry.refusal = Some(cause);
        // A submission that left once is not sent again, even if it was refused.
        let sent_once = was_sent && entry.is_submission();
        let hindrance = self.hindrance(&entry, view, now);
        if let Some((cause, retry_after)) = hindrance.or(sent_once.then_some((cause, None))) {
            self.skip(entry, cause, retry_after, now);
            return;
        }
        let (target, key) = (entry.target, entry.key());
        self.enqueue(entry);
        self.place(target, key, view, now);
    }
}

/// What a sub-request needs from a backend server.
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

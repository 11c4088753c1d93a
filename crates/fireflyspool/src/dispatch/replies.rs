//! Handling of replies and lost connections.

use std::time;

use crate::{backend, dispatch, ids, view};

/// Backoff for a shedding server that does not state one.
const DEFAULT_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest backoff that a backend server can ask for, in case it states a wrong value.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);

impl dispatch::Dispatcher {
    pub(super) fn answered(
        &mut self,
        id: ids::AttemptId,
        reply: backend::SearchReply,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let matches = match &attempt.sub.request.work {
            dispatch::Work::Search {
                snapshot, shard, ..
            } => {
                reply.attempt == id
                    && reply.incarnation == attempt.incarnation
                    && reply.version == snapshot.version
                    && reply.shard == *shard
            }
            dispatch::Work::Submit { .. } => false,
        };
        if !matches {
            self.reject_reply(id, view, now);
            return;
        }
        let queued = u32::try_from(self.backlog.len()).unwrap_or(u32::MAX);
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        let service_time = now.duration_since(attempt.sent);
        if !attempt.reported {
            let outcome = dispatch::SubOutcome::Answered {
                server: self.server_name(attempt.server),
                hits: reply.hits,
                service_time,
                queued,
            };
            self.report(attempt.sub.key(), outcome);
        }
        self.record_answer(&attempt, now);
        let fingerprint = attempt.sub.request.fingerprint;
        self.refill(attempt.server, fingerprint, view, now);
    }

    pub(super) fn submitted(
        &mut self,
        id: ids::AttemptId,
        reply: backend::SubmitReply,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let matches = attempt.sub.is_submission()
            && reply.attempt == id
            && reply.incarnation == attempt.incarnation;
        if !matches {
            self.reject_reply(id, view, now);
            return;
        }
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        if !attempt.reported {
            let outcome = dispatch::SubOutcome::Submitted {
                server: self.server_name(attempt.server),
                receipt: reply.receipt,
            };
            self.report(attempt.sub.key(), outcome);
        }
        self.record_answer(&attempt, now);
        let fingerprint = attempt.sub.request.fingerprint;
        self.refill(attempt.server, fingerprint, view, now);
    }

    pub(super) fn refused(
        &mut self,
        id: ids::AttemptId,
        status: u16,
        reply: &backend::RefusedReply,
        view: &view::View,
        now: time::Instant,
    ) {
        if self.attempts.get(id).is_none() {
            return;
        }
        if reply.attempt != id || reply.ran {
            self.reject_reply(id, view, now);
            return;
        }
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        let key = attempt.server;
        let name = self.server_name(key);
        self.record_late(key, now);
        let cause = match status {
            503 => {
                let backoff = reply.retry_after_ms.map(time::Duration::from_millis);
                self.back_off(
                    key,
                    backoff.unwrap_or(DEFAULT_BACKOFF).min(MAX_BACKOFF),
                    now,
                );
                dispatch::SkipCause::Shedding
            }
            409 => {
                self.mark_not_hosted(&attempt);
                dispatch::SkipCause::NotHosted
            }
            410 => {
                self.gone.insert(name.clone(), attempt.incarnation);
                self.begin_leave(key);
                dispatch::SkipCause::NoServer
            }
            _ => dispatch::SkipCause::NoServer,
        };
        if cause == dispatch::SkipCause::Shedding {
            // Frequent under overload, so only the targets of this server are reassessed.
            self.reassess_server(key, now);
        } else {
            self.limit_ejections(view, now);
            self.reassess_all(view, now);
        }
        let fingerprint = attempt.sub.request.fingerprint;
        self.requeue(*attempt, &name, cause, true, view, now);
        self.refill(key, fingerprint, view, now);
    }

    pub(super) fn connection_lost(
        &mut self,
        id: ids::AttemptId,
        sent: bool,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(key) = self.release_connection(id, false, now) else {
            return;
        };
        let deadline = self.attempts.get(id).map(|a| a.sub.deadline);
        if sent && deadline.is_some_and(|deadline| now >= deadline) {
            // The driver closed the connection at its timeout; the server did not fail.
            return;
        }
        if sent {
            self.record_crash(id, now);
            self.fail_attempt(id, dispatch::FailureCause::Reset);
            self.demote(key);
            self.record_failure(key, view, now);
            // The process may be alive and still run the attempt.
            self.start_cancel(id, view, now);
            return;
        }
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        let name = self.server_name(key);
        self.demote(key);
        self.record_failure(key, view, now);
        let cause = dispatch::SkipCause::NoServer;
        let fingerprint = attempt.sub.request.fingerprint;
        self.requeue(*attempt, &name, cause, false, view, now);
        self.refill(key, fingerprint, view, now);
    }
}

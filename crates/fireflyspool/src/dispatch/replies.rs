//! Replies of backend servers.

use std::time;

use crate::{backend, dispatch, ids, view};

/// Rest of a shedding server that does not say for how long.
const DEFAULT_REST: time::Duration = time::Duration::from_millis(100);

/// Longest rest that a backend server can ask for; its word may be wrong.
const LONGEST_REST: time::Duration = time::Duration::from_secs(30);

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
        let matches = match &attempt.entry.request.work {
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
            self.bad_reply(id, view, now);
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
            self.report(attempt.entry.key(), outcome);
        }
        self.note_answer(&attempt, now);
        let fingerprint = attempt.entry.request.fingerprint;
        self.after_end(attempt.server, fingerprint, view, now);
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
        let matches = attempt.entry.is_submission()
            && reply.attempt == id
            && reply.incarnation == attempt.incarnation;
        if !matches {
            self.bad_reply(id, view, now);
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
            self.report(attempt.entry.key(), outcome);
        }
        self.note_answer(&attempt, now);
        let fingerprint = attempt.entry.request.fingerprint;
        self.after_end(attempt.server, fingerprint, view, now);
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
            self.bad_reply(id, view, now);
            return;
        }
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        let key = attempt.server;
        let name = self.server_name(key);
        self.note_late(key, now);
        let cause = match status {
            503 => {
                let rest = reply.retry_after_ms.map(time::Duration::from_millis);
                self.rest(key, rest.unwrap_or(DEFAULT_REST).min(LONGEST_REST), now);
                dispatch::SkipCause::Shedding
            }
            409 => {
                self.deny(&attempt);
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
            // Frequent under overload, so only what waits for this server is looked at.
            self.reassess_server(key, now);
        } else {
            self.limit_ejections(view, now);
            self.reassess_all(view, now);
        }
        let fingerprint = attempt.entry.request.fingerprint;
        self.put_back(*attempt, &name, cause, true, view, now);
        self.after_end(key, fingerprint, view, now);
    }

    pub(super) fn broken(
        &mut self,
        id: ids::AttemptId,
        sent: bool,
        view: &view::View,
        now: time::Instant,
    ) {
        let Some(key) = self.unlink(id, false, now) else {
            return;
        };
        let deadline = self.attempts.get(id).map(|a| a.entry.deadline);
        if sent && deadline.is_some_and(|deadline| now >= deadline) {
            // The driver has given the attempt up, which says nothing about the server.
            return;
        }
        if sent {
            self.note_crash(id, now);
            self.fail_attempt(id, dispatch::FailureCause::Reset);
            self.cool(key);
            self.note_failure(key, view, now);
            // The process may be alive behind a broken connection and still run the attempt.
            self.start_cancel(id, view, now);
            return;
        }
        let Some(attempt) = self.end_attempt(id, now) else {
            return;
        };
        let name = self.server_name(key);
        self.cool(key);
        self.note_failure(key, view, now);
        let cause = dispatch::SkipCause::NoServer;
        let fingerprint = attempt.entry.request.fingerprint;
        self.put_back(*attempt, &name, cause, false, view, now);
        self.after_end(key, fingerprint, view, now);
    }
}

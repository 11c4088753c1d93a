//! Invariants that the oracle checks in a random run.

use std::time;

use fireflyspool::dispatch;

use crate::{driver_attempt, fixture, reply_checks, simulation, sub_history};

/// Answers in time that raise the limit of slow start by one.
pub(crate) const ANSWERS_PER_STEP: u32 = 4;

impl simulation::Simulation {
    /// Checks an attempt before it is sent, and returns the sub-request that it belongs to.
    pub(crate) fn check_send(
        &mut self,
        attempt: u64,
        server: usize,
        body: &dispatch::Body,
    ) -> Option<u64> {
        let request = match body {
            dispatch::Body::Search(request) => &request.request,
            dispatch::Body::Submit(request) => &request.request,
        };
        let found = self
            .subs
            .iter()
            .find(|(_, s)| s.request.request == *request);
        let id = found.map(|(id, _)| *id);
        let wrong = match found {
            Some((_, sub)) => self.send_violation(attempt, server, body, sub),
            None => Some("no such sub-request"),
        };
        if let Some(wrong) = wrong {
            let name = self.servers[server].name.clone();
            let state = &self.servers[server];
            let (running, timely_answers) = (state.running.clone(), state.timely_answers);
            self.report_violation(format!(
                "sent {request} to {name}: {wrong}; running {running:?}, \
                 answers in time {timely_answers}"
            ));
        }
        id
    }

    fn send_violation(
        &self,
        attempt: u64,
        index: usize,
        body: &dispatch::Body,
        sub: &sub_history::SubHistory,
    ) -> Option<&'static str> {
        let server = &self.servers[index];
        let running = u32::try_from(server.running.len()).expect("few attempts");
        let record = self.record(index);
        let fingerprint = sub.request.fingerprint;
        let current =
            |sent: &driver_attempt::DriverAttempt| sent.sub == sub.request.sub && sent.open;
        let pause = time::Duration::from_millis(40 >> server.timely_answers.min(3));
        let early = server
            .last_timely
            .is_some_and(|answered| self.now < answered + pause);
        let checks = [
            (!self.view.may_act(self.now), "the lease is invalid"),
            (record.owner != Some(fixture::NODE), "not owned"),
            (!self.view.is_eligible(record), "taken out or leaving"),
            (server.released, "released"),
            (server.replied_gone, "it replied 410"),
            (
                server.backoff_until.is_some_and(|until| self.now < until),
                "it sheds load",
            ),
            (running + 1 > server.slots, "more requests than slots"),
            (
                running > server.timely_answers / ANSWERS_PER_STEP,
                "more requests than slow start allows",
            ),
            (
                server.timely_answers < ANSWERS_PER_STEP && early,
                "no pause in slow start",
            ),
            (
                self.sent.contains_key(&attempt),
                "attempt number used before",
            ),
            (sub.ended, "the sub-request has ended"),
            (self.now >= sub.deadline, "the deadline has passed"),
            (self.sent.values().any(current), "it runs elsewhere"),
            (
                sub.refused_by.contains(&index),
                "excluded, or refused there",
            ),
            (
                !body_matches(body, sub, record, attempt),
                "wrong body or shard",
            ),
            (
                sub.send_count > 0 && reply_checks::is_submission(sub),
                "submission sent twice",
            ),
            (
                self.known_crashes(fingerprint) >= 2,
                "two crashes of the request are known",
            ),
            (
                self.view.suspects.get(&fingerprint) >= Some(&2),
                "the view reports two crashes",
            ),
            (self.suspect_runs(fingerprint), "a suspect runs already"),
        ];
        let failed = checks.iter().find(|(failed, _)| *failed);
        failed.map(|(_, violation)| *violation)
    }

    /// Crashes under a fingerprint that were reported to the dispatcher and still count.
    fn known_crashes(&self, fingerprint: u64) -> usize {
        let crashes = self.crashes.iter().filter(|crash| crash.0 == fingerprint);
        let latest = crashes.clone().map(|crash| crash.3).max();
        let current = latest.is_some_and(|latest| self.now < latest + simulation::SUSPICION);
        if current { crashes.count() } else { 0 }
    }

    fn suspect_runs(&self, fingerprint: u64) -> bool {
        let runs = |attempt: &u64| {
            let sent = self.sent.get(attempt);
            sent.is_some_and(|sent| sent.fingerprint == fingerprint)
        };
        let reported = self.view.suspects.contains_key(&fingerprint);
        (reported || self.known_crashes(fingerprint) > 0)
            && self
                .servers
                .iter()
                .any(|server| server.running.iter().any(runs))
    }

    pub(crate) fn check_cancel(&mut self, attempt: u64) {
        let sent = self.sent.get(&attempt).map(|sent| sent.sub);
        let sub = sent.and_then(|id| self.subs.get(&id));
        if !sub.is_some_and(|sub| sub.ended) {
            self.report_violation("cancelled an attempt whose result was not reported");
        }
    }

    pub(crate) fn check_connections(&mut self, server: usize) {
        let limit = self.record(server).announcement.connections;
        let count = self.servers[server].connections;
        if count > limit {
            self.report_violation(format!(
                "opened {count} connections to server {server}, limit {limit}"
            ));
        }
    }

    pub(crate) fn check_may_use(&mut self, server: usize) {
        let record = self.record(server);
        let allowed = self.view.may_act(self.now)
            && record.owner == Some(fixture::NODE)
            && self.view.is_eligible(record)
            && !self.servers[server].released;
        if !allowed {
            self.report_violation(format!(
                "opened a connection to server {server}, which it may not use"
            ));
        }
    }

    pub(crate) fn check_no_open(&mut self, server: usize) {
        let open = |sent: &driver_attempt::DriverAttempt| sent.open && sent.server == server;
        if self.sent.values().any(open) {
            self.report_violation(format!(
                "closed the client of server {server} while an attempt is open"
            ));
        }
    }

    pub(crate) fn check_not_running(&mut self, server: usize) {
        self.check_no_open(server);
        if !self.servers[server].running.is_empty() {
            self.report_violation(format!(
                "released server {server} while an attempt runs there"
            ));
        }
    }

    /// Checks that every sub-request has a result by its deadline.
    pub(crate) fn check_pending(&mut self) {
        let now = self.now;
        let late = |sub: &sub_history::SubHistory| !sub.ended && sub.deadline < now;
        let found = self.subs.iter().find(|(_, sub)| late(sub));
        if let Some(id) = found.map(|(id, _)| *id) {
            self.report_violation(format!("sub-request {id} has no result after its deadline"));
        }
    }

    pub(crate) fn check_end(&mut self) {
        let gauges = self.dispatcher.gauges(self.now);
        if self.subs.values().any(|sub| !sub.ended) || gauges.waiting > 0 || gauges.running > 0 {
            self.report_violation(format!("sub-requests are left at the end: {gauges:?}"));
        }
    }
}

fn body_matches(
    body: &dispatch::Body,
    sub: &sub_history::SubHistory,
    record: &fireflyspool::view::ServerRecord,
    attempt: u64,
) -> bool {
    match (body, &sub.request.work) {
        (
            dispatch::Body::Search(request),
            dispatch::Work::Search {
                snapshot,
                shard,
                text,
                limit,
            },
        ) => {
            reply_checks::hosts(record, sub)
                && request.attempt == attempt
                && request.collection == snapshot.collection
                && request.version == snapshot.version
                && request.shard == *shard
                && request.text == *text
                && request.limit == *limit
        }
        (dispatch::Body::Submit(request), dispatch::Work::Submit { payload }) => {
            request.attempt == attempt && request.payload == *payload
        }
        _ => false,
    }
}

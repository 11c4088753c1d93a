//! What the oracle checks in a random run.

use std::time;

use fireflyspool::dispatch;

use crate::{fixture, reply_checks, sent, sub, world};

/// Answers in time that allow one more concurrent request in slow start.
pub(crate) const ANSWERS_PER_STEP: u32 = 4;

impl world::World {
    /// Checks a send and returns the sub-request that it belongs to.
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
            let (running, proved) = (state.running.clone(), state.proved);
            self.violate(format!(
                "sent {request} to {name}: {wrong}; running {running:?}, proved {proved}"
            ));
        }
        id
    }

    fn send_violation(
        &self,
        attempt: u64,
        index: usize,
        body: &dispatch::Body,
        sub: &sub::Sub,
    ) -> Option<&'static str> {
        let server = &self.servers[index];
        let running = u32::try_from(server.running.len()).expect("few attempts");
        let record = self.record(index);
        let fingerprint = sub.request.fingerprint;
        let current = |sent: &sent::Sent| sent.sub == sub.request.sub && sent.open;
        let pause = time::Duration::from_millis(40 >> server.proved.min(3));
        let early = server
            .last_proof
            .is_some_and(|proof| self.now < proof + pause);
        let checks = [
            (!self.view.may_act(self.now), "the lease is invalid"),
            (record.owner != Some(fixture::NODE), "not owned"),
            (!self.view.is_eligible(record), "taken out or leaving"),
            (server.released, "released"),
            (server.said_leaving, "it said that it leaves"),
            (
                server.rest_until.is_some_and(|rest| self.now < rest),
                "it sheds load",
            ),
            (running + 1 > server.slots, "more requests than slots"),
            (
                running > server.proved / ANSWERS_PER_STEP,
                "slow start passed",
            ),
            (
                server.proved < ANSWERS_PER_STEP && early,
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
                sub.left > 0 && reply_checks::is_submission(sub),
                "submission sent twice",
            ),
            (
                self.crashes_known(fingerprint) >= 2,
                "the content crashed two servers",
            ),
            (
                self.view.suspects.get(&fingerprint) >= Some(&2),
                "a reported suspect",
            ),
            (self.suspect_runs(fingerprint), "two suspects at a time"),
        ];
        let failed = checks.iter().find(|(failed, _)| *failed);
        failed.map(|(_, what)| *what)
    }

    /// Crashes under a content that the dispatcher has seen and that still count.
    fn crashes_known(&self, fingerprint: u64) -> usize {
        let seen = self.crashes.iter().filter(|crash| crash.0 == fingerprint);
        let latest = seen.clone().map(|crash| crash.3).max();
        let current = latest.is_some_and(|latest| self.now < latest + world::SUSPICION);
        if current { seen.count() } else { 0 }
    }

    fn suspect_runs(&self, fingerprint: u64) -> bool {
        let runs = |attempt: &u64| {
            let sent = self.sent.get(attempt);
            sent.is_some_and(|sent| sent.fingerprint == fingerprint)
        };
        let told = self.view.suspects.contains_key(&fingerprint);
        (told || self.crashes_known(fingerprint) > 0)
            && self
                .servers
                .iter()
                .any(|server| server.running.iter().any(runs))
    }

    pub(crate) fn check_cancel(&mut self, attempt: u64) {
        let sent = self.sent.get(&attempt).map(|sent| sent.sub);
        let sub = sent.and_then(|id| self.subs.get(&id));
        if !sub.is_some_and(|sub| sub.ended) {
            self.violate("cancelled an attempt whose result is awaited");
        }
    }

    pub(crate) fn check_connections(&mut self, server: usize) {
        let limit = self.record(server).announcement.connections;
        let count = self.servers[server].connections;
        if count > limit {
            self.violate(format!("{count} connections to {server} of {limit}"));
        }
    }

    pub(crate) fn check_may_use(&mut self, server: usize) {
        let record = self.record(server);
        let allowed = self.view.may_act(self.now)
            && record.owner == Some(fixture::NODE)
            && self.view.is_eligible(record)
            && !self.servers[server].released;
        if !allowed {
            self.violate(format!("opened a connection to {server}"));
        }
    }

    pub(crate) fn check_quiet(&mut self, server: usize) {
        let open = |sent: &sent::Sent| sent.open && sent.server == server;
        if self.sent.values().any(open) {
            self.violate(format!("closed the client of {server} while it is in use"));
        }
    }

    pub(crate) fn check_unused(&mut self, server: usize) {
        self.check_quiet(server);
        if !self.servers[server].running.is_empty() {
            self.violate(format!("released {server} while an attempt runs there"));
        }
    }

    /// Checks that nothing outlives its deadline.
    pub(crate) fn check_pending(&mut self) {
        let now = self.now;
        let late = |sub: &sub::Sub| !sub.ended && sub.deadline < now;
        let found = self.subs.iter().find(|(_, sub)| late(sub));
        if let Some(id) = found.map(|(id, _)| *id) {
            self.violate(format!("sub-request {id} has no result after its deadline"));
        }
    }

    pub(crate) fn check_end(&mut self) {
        let gauges = self.dispatcher.gauges(self.now);
        if self.subs.values().any(|sub| !sub.ended) || gauges.waiting > 0 || gauges.running > 0 {
            self.violate(format!("something is left at the end: {gauges:?}"));
        }
    }
}

fn body_matches(
    body: &dispatch::Body,
    sub: &sub::Sub,
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

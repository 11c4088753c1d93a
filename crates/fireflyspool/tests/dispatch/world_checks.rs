//! What the oracle checks in a random run.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{fixture, sent, sub, world};

/// Answers in time that allow one more concurrent request in slow start.
const ANSWERS_PER_STEP: u32 = 4;

/// Proofs of a server that has left slow start.
const WARM: u32 = 1_000_000;

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
            (sub.left > 0 && is_submission(sub), "submission sent twice"),
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

    /// Follows what the dispatcher is about to be told.
    pub(crate) fn note_delivery(&mut self, attempt: u64, event: &dispatch::Event) {
        let sent = self
            .sent
            .get(&attempt)
            .expect("an attempt that was sent")
            .clone();
        let server = &mut self.servers[sent.server];
        let known = self
            .view
            .servers
            .get(&server.name)
            .expect("a server of the view");
        let known = known.announcement.incarnation;
        match event {
            dispatch::Event::Broken { sent: left, .. } => {
                let deadline = self.subs.get(&sent.sub).map(|sub| sub.deadline);
                if *left && deadline.is_some_and(|deadline| self.now >= deadline) {
                    return;
                }
                server.look_cold();
                let crash = (sent.fingerprint, sent.server, sent.process);
                let seen = |c: &(u64, usize, u64, time::Instant)| (c.0, c.1, c.2) == crash;
                if *left && !self.crashes.iter().any(seen) {
                    self.crashes.push((crash.0, crash.1, crash.2, self.now));
                }
            }
            dispatch::Event::Refused { status, reply, .. } => {
                let rest = reply.retry_after_ms.map(time::Duration::from_millis);
                server.rest_until = rest.map(|rest| self.now + rest).or(server.rest_until);
                server.said_leaving |= *status == 410;
                server.denied |= *status == 409;
                if let Some(sub) = self.subs.get_mut(&sent.sub) {
                    sub.refused_by.push(sent.server);
                }
            }
            dispatch::Event::Answered { reply, .. } if reply_matches(reply, &sent, known) => {
                let process = sent.process;
                let answers = |c: &(u64, usize, u64, time::Instant)| {
                    c.1 == sent.server && c.2 == process && c.3 < sent.at
                };
                self.crashes.retain(|crash| !answers(crash));
                self.prove(&sent);
            }
            dispatch::Event::Submitted { reply, .. }
                if reply.attempt == attempt && reply.incarnation == known =>
            {
                let answers = |c: &(u64, usize, u64, time::Instant)| {
                    c.1 == sent.server && c.2 == known && c.3 < sent.at
                };
                self.crashes.retain(|crash| !answers(crash));
                self.prove(&sent);
            }
            _ => {}
        }
    }

    fn prove(&mut self, sent: &sent::Sent) {
        let server = &mut self.servers[sent.server];
        if self.now > sent.deadline + time::Duration::from_millis(1) {
            return;
        }
        server.proved += 1;
        server.last_proof = Some(self.now);
        if 1 + server.proved / ANSWERS_PER_STEP > server.slots {
            server.proved = server.proved.max(WARM);
        }
    }

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
            !(server.said_leaving || server.given_up || server.released || server.denied)
                && !sub.refused_by.contains(index)
        };
        // A break before any byte left excludes a server for one sub-request only.
        let tried = self.sent.values().any(|sent| sent.sub == id);
        !tried
            && replicas.iter().all(own)
            && replicas.iter().any(usable)
            && replicas.iter().all(usable)
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

fn is_submission(sub: &sub::Sub) -> bool {
    matches!(sub.request.work, dispatch::Work::Submit { .. })
}

fn hosts(record: &fireflyspool::view::ServerRecord, sub: &sub::Sub) -> bool {
    match &sub.request.work {
        dispatch::Work::Search { shard, .. } => record
            .announcement
            .hosted
            .contains(&fixture::hosted(*shard)),
        dispatch::Work::Submit { .. } => true,
    }
}

fn reply_matches(reply: &backend::SearchReply, sent: &sent::Sent, known: u64) -> bool {
    match &sent.body {
        dispatch::Body::Search(request) => {
            reply.attempt == request.attempt
                && reply.incarnation == known
                && reply.version == request.version
                && reply.shard == request.shard
        }
        dispatch::Body::Submit(_) => false,
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
            hosts(record, sub)
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

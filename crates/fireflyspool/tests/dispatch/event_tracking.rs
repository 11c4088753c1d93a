//! Oracle state that follows the events a dispatcher receives.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{driver_attempt, invariants, simulation};

/// Count of timely answers of a server that has left slow start.
const WARM_ANSWERS: u32 = 1_000_000;

impl simulation::Simulation {
    /// Updates the oracle before the dispatcher receives an event about an attempt.
    pub(crate) fn track_event(&mut self, attempt: u64, event: &dispatch::Event) {
        let sent = self
            .sent
            .get(&attempt)
            .expect("an attempt that was sent")
            .clone();
        let server = &mut self.servers[sent.server];
        let record = self
            .view
            .servers
            .get(&server.name)
            .expect("a server of the view");
        let known = record.announcement.incarnation;
        match event {
            dispatch::Event::ConnectionLost {
                sent: bytes_sent, ..
            } => {
                // After the deadline the driver closes the connection itself; this is no crash.
                if *bytes_sent && self.now >= sent.deadline {
                    return;
                }
                server.reset_slow_start();
                let crash = (sent.fingerprint, sent.server, sent.process);
                let same = |c: &(u64, usize, u64, time::Instant)| (c.0, c.1, c.2) == crash;
                if *bytes_sent && !self.crashes.iter().any(same) {
                    self.crashes.push((crash.0, crash.1, crash.2, self.now));
                }
            }
            dispatch::Event::Refused { status, reply, .. } => {
                let backoff = reply.retry_after_ms.map(time::Duration::from_millis);
                server.backoff_until = backoff
                    .map(|backoff| self.now + backoff)
                    .or(server.backoff_until);
                server.replied_gone |= *status == 410;
                server.not_hosted |= *status == 409;
                if let Some(sub) = self.subs.get_mut(&sent.sub) {
                    sub.refused_by.push(sent.server);
                }
            }
            dispatch::Event::Answered { reply, .. } if reply_matches(reply, &sent, known) => {
                let process = sent.process;
                let disproved = |c: &(u64, usize, u64, time::Instant)| {
                    c.1 == sent.server && c.2 == process && c.3 < sent.at
                };
                self.crashes.retain(|crash| !disproved(crash));
                self.record_timely(&sent);
            }
            dispatch::Event::Submitted { reply, .. }
                if reply.attempt == attempt && reply.incarnation == known =>
            {
                let disproved = |c: &(u64, usize, u64, time::Instant)| {
                    c.1 == sent.server && c.2 == known && c.3 < sent.at
                };
                self.crashes.retain(|crash| !disproved(crash));
                self.record_timely(&sent);
            }
            _ => {}
        }
    }

    /// Counts an answer in time towards the end of slow start.
    fn record_timely(&mut self, sent: &driver_attempt::DriverAttempt) {
        let server = &mut self.servers[sent.server];
        if self.now > sent.deadline + time::Duration::from_millis(1) {
            return;
        }
        server.timely_answers += 1;
        server.last_timely = Some(self.now);
        if 1 + server.timely_answers / invariants::ANSWERS_PER_STEP > server.slots {
            server.timely_answers = server.timely_answers.max(WARM_ANSWERS);
        }
    }
}

fn reply_matches(
    reply: &backend::SearchReply,
    sent: &driver_attempt::DriverAttempt,
    known: u64,
) -> bool {
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

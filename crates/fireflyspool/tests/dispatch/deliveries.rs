//! What the oracle learns from the events that a dispatcher receives.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{sent, world, world_checks};

/// Proofs of a server that has left slow start.
const WARM: u32 = 1_000_000;

impl world::World {
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
            dispatch::Event::ConnectionLost { sent: left, .. } => {
                // The driver gives attempts up after their own deadline, which is no crash.
                if *left && self.now >= sent.deadline {
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
        if 1 + server.proved / world_checks::ANSWERS_PER_STEP > server.slots {
            server.proved = server.proved.max(WARM);
        }
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

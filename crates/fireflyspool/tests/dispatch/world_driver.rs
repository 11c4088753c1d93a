//! Driver and backend servers of a random run.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{fixture, happening, mode, sent, world};

const MS: time::Duration = time::Duration::from_millis(1);

impl world::World {
    pub(crate) fn act(&mut self, action: dispatch::Action) {
        match action {
            dispatch::Action::Send {
                attempt,
                server,
                body,
                timeout,
                ..
            } => self.send(attempt, &server, body, timeout),
            dispatch::Action::CancelAttempt {
                attempt, server, ..
            } => {
                let server = self.find(&server);
                self.check_cancel(attempt);
                self.servers[server].connect();
                self.check_connections(server);
                let process = self.servers[server].process;
                let cancel = happening::Happening::Cancel {
                    attempt,
                    server,
                    process,
                };
                self.later(MS, cancel);
            }
            dispatch::Action::Reply { sub, outcome, .. } => self.check_reply(sub, &outcome),
            dispatch::Action::OpenConnections { server, count, .. } => {
                let server = self.find(&server);
                let process = self.record(server).announcement.incarnation;
                for _ in 0..count {
                    self.servers[server].connections += 1;
                    self.servers[server].opening += 1;
                    self.later(5 * MS, happening::Happening::Open { server, process });
                }
                self.check_connections(server);
                self.check_may_use(server);
            }
            dispatch::Action::CloseConnections { server } => {
                let server = self.find(&server);
                self.check_quiet(server);
                self.servers[server].connections = 0;
            }
            dispatch::Action::Released { server } => {
                let server = self.find(&server);
                self.check_unused(server);
                self.servers[server].released = true;
            }
            dispatch::Action::ReportCrash { .. } | dispatch::Action::Log(_) => {}
        }
    }

    fn send(&mut self, attempt: u64, server: &str, body: dispatch::Body, timeout: time::Duration) {
        let server = self.find(server);
        let Some(sub) = self.check_send(attempt, server, &body) else {
            return;
        };
        self.sends += 1;
        self.servers[server].connect();
        self.check_connections(server);
        let left = match &body {
            dispatch::Body::Search(request) => request.deadline_ms,
            dispatch::Body::Submit(request) => request.deadline_ms,
        };
        let fingerprint = self.subs.get(&sub).map_or(0, |s| s.request.fingerprint);
        let sent = sent::Sent {
            sub,
            server,
            process: self.servers[server].process,
            at: self.now,
            deadline: self.now + time::Duration::from_millis(left),
            body,
            fingerprint,
            open: true,
        };
        let outlives = |until| sent.deadline > until;
        if self.view.lease_until.is_some_and(outlives) {
            self.violate(format!("attempt {attempt} may outlive the lease"));
        }
        let process = sent.process;
        self.sent.insert(attempt, sent);
        self.later(timeout, happening::Happening::GiveUp(attempt));
        let mode = self.servers[server].mode;
        if mode == mode::Mode::Unreachable {
            let event = dispatch::Event::ConnectionLost {
                attempt,
                sent: false,
            };
            self.deliver_later(MS, attempt, event, false);
            return;
        }
        let status = match mode {
            mode::Mode::Shedding => Some(503),
            mode::Mode::NotHosting => Some(409),
            mode::Mode::Leaving => Some(410),
            _ => None,
        };
        if let Some(sub) = self.subs.get_mut(&sub) {
            sub.left += 1;
            sub.ran |= status.is_none();
        }
        if let Some(status) = status {
            let reply = backend::RefusedReply {
                attempt,
                ran: false,
                retry_after_ms: (status == 503).then_some(50),
            };
            let event = dispatch::Event::Refused {
                attempt,
                status,
                reply,
            };
            self.deliver_later(MS, attempt, event, true);
            return;
        }
        self.servers[server].running.push(attempt);
        if fingerprint == world::POISON {
            self.later(2 * MS, happening::Happening::Die { server, process });
        }
        let straggles = self.draw().is_multiple_of(50);
        let service = MS * (2 + self.draw() as u32 % 18) * if straggles { 6 } else { 1 };
        // The server counts its deadline from receipt, which can be a little later.
        let stop = time::Duration::from_millis(left) + MS * (self.draw() as u32 % 10);
        let end = if mode == mode::Mode::Silent {
            stop
        } else {
            service.min(stop)
        };
        self.later(end, happening::Happening::EndRun(attempt));
        match mode {
            mode::Mode::Silent => {}
            mode::Mode::Cutting => {
                let event = dispatch::Event::ConnectionLost {
                    attempt,
                    sent: true,
                };
                self.deliver_later(MS, attempt, event, false);
            }
            mode::Mode::Misdirecting => {
                let event = self.reply(attempt, true);
                self.deliver_later(MS, attempt, event, true);
            }
            _ if service <= stop => {
                let event = self.reply(attempt, false);
                self.deliver_later(service, attempt, event, true);
            }
            _ => {}
        }
    }

    /// Reply of the process that received an attempt; a wrong one differs in one field.
    fn reply(&mut self, attempt: u64, wrong: bool) -> dispatch::Event {
        let choice = if wrong { self.draw() % 4 } else { 9 };
        let sent = self.sent.get(&attempt).expect("an attempt that was sent");
        match &sent.body {
            dispatch::Body::Search(request) => {
                let mut reply = fixture::reply(request, sent.process);
                match choice {
                    0 => reply.attempt += 1,
                    1 => reply.incarnation += 1,
                    2 => reply.version += 1,
                    3 => reply.shard += 1,
                    _ => {}
                }
                dispatch::Event::Answered { attempt, reply }
            }
            dispatch::Body::Submit(_) => {
                let reply = backend::SubmitReply {
                    attempt: attempt + u64::from(choice < 2),
                    incarnation: sent.process + u64::from(choice == 2 || choice == 3),
                    receipt: format!("receipt-{}", sent.sub),
                };
                dispatch::Event::Submitted { attempt, reply }
            }
        }
    }

    fn deliver_later(
        &mut self,
        delay: time::Duration,
        attempt: u64,
        event: dispatch::Event,
        keeps: bool,
    ) {
        let deliver = happening::Happening::Deliver {
            attempt,
            event,
            keeps,
        };
        self.later(delay, deliver);
    }
}

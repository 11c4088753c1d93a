//! Driver and backend servers of a random run: execution of actions.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{driver_attempt, fixture, scheduled_event, server_mode, simulation};

const MS: time::Duration = time::Duration::from_millis(1);

impl simulation::Simulation {
    pub(crate) fn execute_action(&mut self, action: dispatch::Action) {
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
                let cancel = scheduled_event::ScheduledEvent::Cancel {
                    attempt,
                    server,
                    process,
                };
                self.schedule(MS, cancel);
            }
            dispatch::Action::Reply { sub, outcome, .. } => self.check_reply(sub, &outcome),
            dispatch::Action::OpenConnections { server, count, .. } => {
                let server = self.find(&server);
                let process = self.record(server).announcement.incarnation;
                for _ in 0..count {
                    self.servers[server].connections += 1;
                    self.servers[server].opening += 1;
                    self.schedule(
                        5 * MS,
                        scheduled_event::ScheduledEvent::Open { server, process },
                    );
                }
                self.check_connections(server);
                self.check_may_use(server);
            }
            dispatch::Action::CloseConnections { server } => {
                let server = self.find(&server);
                self.check_no_open(server);
                self.servers[server].connections = 0;
            }
            dispatch::Action::Released { server } => {
                let server = self.find(&server);
                self.check_not_running(server);
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
        let deadline_ms = match &body {
            dispatch::Body::Search(request) => request.deadline_ms,
            dispatch::Body::Submit(request) => request.deadline_ms,
        };
        let fingerprint = self.subs.get(&sub).map_or(0, |s| s.request.fingerprint);
        let sent = driver_attempt::DriverAttempt {
            sub,
            server,
            process: self.servers[server].process,
            at: self.now,
            deadline: self.now + time::Duration::from_millis(deadline_ms),
            body,
            fingerprint,
            open: true,
        };
        let outlives = |until| sent.deadline > until;
        if self.view.lease_until.is_some_and(outlives) {
            self.report_violation(format!("attempt {attempt} may outlive the lease"));
        }
        let process = sent.process;
        self.sent.insert(attempt, sent);
        self.schedule(timeout, scheduled_event::ScheduledEvent::GiveUp(attempt));
        let mode = self.servers[server].mode;
        if mode == server_mode::ServerMode::Unreachable {
            let event = dispatch::Event::ConnectionLost {
                attempt,
                sent: false,
            };
            self.deliver_later(MS, attempt, event, false);
            return;
        }
        let status = match mode {
            server_mode::ServerMode::Shedding => Some(503),
            server_mode::ServerMode::NotHosting => Some(409),
            server_mode::ServerMode::Leaving => Some(410),
            _ => None,
        };
        if let Some(sub) = self.subs.get_mut(&sub) {
            sub.send_count += 1;
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
        if fingerprint == simulation::POISON_FINGERPRINT {
            self.schedule(
                2 * MS,
                scheduled_event::ScheduledEvent::Crash { server, process },
            );
        }
        let is_straggler = self.next_random().is_multiple_of(50);
        let service = MS * (2 + self.next_random() as u32 % 18) * if is_straggler { 6 } else { 1 };
        // The server counts its deadline from receipt, up to 9 ms later.
        let stop = time::Duration::from_millis(deadline_ms) + MS * (self.next_random() as u32 % 10);
        let end = if mode == server_mode::ServerMode::Silent {
            stop
        } else {
            service.min(stop)
        };
        self.schedule(end, scheduled_event::ScheduledEvent::EndRun(attempt));
        match mode {
            server_mode::ServerMode::Silent => {}
            server_mode::ServerMode::Disconnecting => {
                let event = dispatch::Event::ConnectionLost {
                    attempt,
                    sent: true,
                };
                self.deliver_later(MS, attempt, event, false);
            }
            server_mode::ServerMode::WrongReply => {
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

    /// Reply of the process that received an attempt; a wrong reply differs in one field.
    fn reply(&mut self, attempt: u64, wrong: bool) -> dispatch::Event {
        let choice = if wrong { self.next_random() % 4 } else { 9 };
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
        reusable: bool,
    ) {
        let deliver = scheduled_event::ScheduledEvent::Deliver {
            attempt,
            event,
            reusable,
        };
        self.schedule(delay, deliver);
    }
}

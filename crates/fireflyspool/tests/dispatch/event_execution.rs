//! Execution of scheduled events.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{driver_attempt, scheduled_event, server_mode, simulation};

const MS: time::Duration = time::Duration::from_millis(1);

impl simulation::Simulation {
    pub(crate) fn execute(&mut self, scheduled: scheduled_event::ScheduledEvent) {
        match scheduled {
            scheduled_event::ScheduledEvent::EndRun(attempt) => {
                let server = self.sent.get(&attempt).map_or(0, |sent| sent.server);
                self.servers[server].running.retain(|run| *run != attempt);
            }
            scheduled_event::ScheduledEvent::Deliver {
                attempt,
                event,
                reusable,
            } => {
                if self.close(attempt, reusable) {
                    self.track_event(attempt, &event);
                    self.deliver(event.clone());
                    if self.next_random().is_multiple_of(8) {
                        // A duplicate must change nothing.
                        self.deliver(event);
                    }
                }
            }
            scheduled_event::ScheduledEvent::Cancel {
                attempt,
                server,
                process,
            } => self.receive_cancel(attempt, server, process),
            scheduled_event::ScheduledEvent::Open { server, process } => {
                let fake_server = &mut self.servers[server];
                fake_server.opening = fake_server.opening.saturating_sub(1);
                let succeeds = fake_server.process == process
                    && fake_server.mode != server_mode::ServerMode::Unreachable
                    && fake_server.connections > 0;
                let name = fake_server.name.clone();
                let event = if succeeds {
                    dispatch::Event::ConnectionOpened {
                        server: name,
                        incarnation: process,
                    }
                } else {
                    fake_server.connections = fake_server.connections.saturating_sub(1);
                    dispatch::Event::ConnectionFailed {
                        server: name,
                        incarnation: process,
                    }
                };
                self.deliver(event);
            }
            scheduled_event::ScheduledEvent::GiveUp(attempt) => {
                if self.close(attempt, false) {
                    let sent = true;
                    self.deliver(dispatch::Event::ConnectionLost { attempt, sent });
                }
            }
            scheduled_event::ScheduledEvent::Crash { server, process } => {
                if self.servers[server].process == process {
                    self.crash(server);
                }
            }
            scheduled_event::ScheduledEvent::Announce { server } => {
                let process = self.servers[server].process;
                if self.record(server).announcement.incarnation == process {
                    // It crashed again before this announcement.
                    return;
                }
                self.servers[server].mode = server_mode::ServerMode::Normal;
                self.servers[server].reset_slow_start();
                self.servers[server].replied_gone = false;
                self.servers[server].released = false;
                self.servers[server].releasing = false;
                self.change(server, |record| {
                    record.announcement.incarnation = process;
                    record.announcement.phase = backend::Phase::Ready;
                });
                self.deliver(dispatch::Event::ViewChanged);
            }
        }
    }

    /// Advances the time for backend servers only; other events are delayed until its end.
    pub(crate) fn pause(&mut self, span: time::Duration) {
        let end = self.now + span;
        let mut late = Vec::new();
        while self.events.first().is_some_and(|(key, _)| key.0 <= end) {
            match self.events.pop_first() {
                Some((_, scheduled @ scheduled_event::ScheduledEvent::EndRun(_))) => {
                    self.execute(scheduled);
                }
                // The driver closes the connection, but its event does not reach the dispatcher.
                Some((_, scheduled_event::ScheduledEvent::GiveUp(attempt))) => {
                    self.close(attempt, false);
                }
                Some((_, scheduled)) => late.push(scheduled),
                None => {}
            }
        }
        self.now = end;
        for scheduled in late {
            self.schedule(time::Duration::ZERO, scheduled);
        }
    }

    fn receive_cancel(&mut self, attempt: u64, server: usize, process: u64) {
        let same_process = self.servers[server].process == process;
        self.servers[server].disconnect(same_process);
        let choice = self.next_random() % 10;
        let runs = self.servers[server].running.contains(&attempt);
        let event = if choice == 0 {
            dispatch::Event::CancelFailed { attempt }
        } else {
            let state = if choice == 1 || !same_process {
                // It may not know an attempt that runs.
                backend::CancelState::Unknown
            } else if runs {
                self.servers[server].running.retain(|run| *run != attempt);
                backend::CancelState::Cancelled
            } else {
                backend::CancelState::Finished
            };
            if state != backend::CancelState::Unknown {
                self.close(attempt, false);
            }
            dispatch::Event::CancelAnswered { attempt, state }
        };
        self.deliver(event);
    }

    /// Closes an attempt at the driver; returns whether it was still open.
    fn close(&mut self, attempt: u64, reusable: bool) -> bool {
        let Some(sent) = self.sent.get_mut(&attempt) else {
            return false;
        };
        let open = std::mem::take(&mut sent.open);
        let server = sent.server;
        if open {
            self.servers[server].disconnect(reusable);
        }
        open
    }

    /// Crashes the process of a server; a new one is announced 20 to 99 ms later.
    pub(crate) fn crash(&mut self, server: usize) {
        let fake_server = &mut self.servers[server];
        fake_server.process += 1;
        fake_server.running.clear();
        fake_server.backoff_until = None;
        let open = |sent: &driver_attempt::DriverAttempt| sent.open && sent.server == server;
        let broken = self.sent.iter().filter(|(_, sent)| open(sent));
        let broken = broken.map(|(attempt, _)| *attempt).collect::<Vec<_>>();
        for attempt in broken {
            self.close(attempt, false);
            let event = dispatch::Event::ConnectionLost {
                attempt,
                sent: true,
            };
            self.track_event(attempt, &event);
            self.deliver(event);
        }
        let fake_server = &mut self.servers[server];
        fake_server.connections = fake_server.opening + fake_server.used;
        let delay = MS * (20 + self.next_random() as u32 % 80);
        self.schedule(delay, scheduled_event::ScheduledEvent::Announce { server });
    }
}

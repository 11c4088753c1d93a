//! Things that happen at the driver and at backend servers.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{happening, mode, sent, world};

const MS: time::Duration = time::Duration::from_millis(1);

impl world::World {
    pub(crate) fn happen(&mut self, happening: happening::Happening) {
        match happening {
            happening::Happening::EndRun(attempt) => {
                let server = self.sent.get(&attempt).map_or(0, |sent| sent.server);
                self.servers[server].running.retain(|run| *run != attempt);
            }
            happening::Happening::Deliver {
                attempt,
                event,
                keeps,
            } => {
                if self.close(attempt, keeps) {
                    self.note_delivery(attempt, &event);
                    self.deliver(event.clone());
                    if self.draw().is_multiple_of(8) {
                        // A second copy must change nothing.
                        self.deliver(event);
                    }
                }
            }
            happening::Happening::Cancel {
                attempt,
                server,
                process,
            } => self.cancel_arrives(attempt, server, process),
            happening::Happening::Open { server, process } => {
                let stand_in = &mut self.servers[server];
                stand_in.opening = stand_in.opening.saturating_sub(1);
                let works = stand_in.process == process
                    && stand_in.mode != mode::Mode::Unreachable
                    && stand_in.connections > 0;
                let name = stand_in.name.clone();
                let event = if works {
                    dispatch::Event::ConnectionOpened {
                        server: name,
                        incarnation: process,
                    }
                } else {
                    stand_in.connections = stand_in.connections.saturating_sub(1);
                    dispatch::Event::ConnectionFailed {
                        server: name,
                        incarnation: process,
                    }
                };
                self.deliver(event);
            }
            happening::Happening::GiveUp(attempt) => {
                if self.close(attempt, false) {
                    let sent = true;
                    self.deliver(dispatch::Event::ConnectionLost { attempt, sent });
                }
            }
            happening::Happening::Die { server, process } => {
                if self.servers[server].process == process {
                    self.die(server);
                }
            }
            happening::Happening::Announce { server } => {
                let process = self.servers[server].process;
                if self.record(server).announcement.incarnation == process {
                    // It died twice before its first announcement.
                    return;
                }
                self.servers[server].mode = mode::Mode::Normal;
                self.servers[server].look_cold();
                self.servers[server].said_leaving = false;
                self.servers[server].released = false;
                self.servers[server].given_up = false;
                self.change(server, |record| {
                    record.announcement.incarnation = process;
                    record.announcement.phase = backend::Phase::Ready;
                });
                self.deliver(dispatch::Event::ViewChanged);
            }
        }
    }

    /// Lets time pass for backend servers only; everything else happens late.
    pub(crate) fn pause(&mut self, span: time::Duration) {
        let end = self.now + span;
        let mut late = Vec::new();
        while self.happenings.first().is_some_and(|(key, _)| key.0 <= end) {
            match self.happenings.pop_first() {
                Some((_, happening @ happening::Happening::EndRun(_))) => self.happen(happening),
                // The driver's own timeouts belong to its connections, not to the dispatcher.
                Some((_, happening::Happening::GiveUp(attempt))) => {
                    self.close(attempt, false);
                }
                Some((_, happening)) => late.push(happening),
                None => {}
            }
        }
        self.now = end;
        for happening in late {
            self.later(time::Duration::ZERO, happening);
        }
    }

    fn cancel_arrives(&mut self, attempt: u64, server: usize, process: u64) {
        let same = self.servers[server].process == process;
        self.servers[server].disconnect(same);
        let luck = self.draw() % 10;
        let runs = self.servers[server].running.contains(&attempt);
        let event = if luck == 0 {
            dispatch::Event::CancelFailed { attempt }
        } else {
            let state = if luck == 1 || !same {
                // It may claim not to know an attempt that runs.
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

    /// Ends the driver's part of an attempt; returns whether it was still open.
    fn close(&mut self, attempt: u64, keeps: bool) -> bool {
        let Some(sent) = self.sent.get_mut(&attempt) else {
            return false;
        };
        let open = std::mem::take(&mut sent.open);
        let server = sent.server;
        if open {
            self.servers[server].disconnect(keeps);
        }
        open
    }

    /// Ends the process of a server; a new one is announced a little later.
    pub(crate) fn die(&mut self, server: usize) {
        let stand_in = &mut self.servers[server];
        stand_in.process += 1;
        stand_in.running.clear();
        stand_in.rest_until = None;
        let open = |sent: &sent::Sent| sent.open && sent.server == server;
        let broken = self.sent.iter().filter(|(_, sent)| open(sent));
        let broken = broken.map(|(attempt, _)| *attempt).collect::<Vec<_>>();
        for attempt in broken {
            self.close(attempt, false);
            let event = dispatch::Event::ConnectionLost {
                attempt,
                sent: true,
            };
            self.note_delivery(attempt, &event);
            self.deliver(event);
        }
        let stand_in = &mut self.servers[server];
        stand_in.connections = stand_in.opening + stand_in.used;
        let delay = MS * (20 + self.draw() as u32 % 80);
        self.later(delay, happening::Happening::Announce { server });
    }
}

//! Execution of the steps of a random run.

use std::{sync, time};

use fireflyspool::{backend, dispatch};

use crate::{fixture, simulation, step, sub_history};

impl simulation::Simulation {
    pub(crate) fn run_step(&mut self, step: step::Step) {
        let server = |number: u8| usize::from(number) % simulation::SERVERS;
        let zone = |number: u8| format!("zone-{}", number % 2);
        match step {
            step::Step::Submit { .. } => self.submit(step),
            step::Step::Wait(ms) => {
                if !self.lease_lost {
                    self.view.lease_until = Some(self.now + time::Duration::from_secs(3));
                    self.deliver(dispatch::Event::ViewChanged);
                }
                self.advance(time::Duration::from_millis(u64::from(ms) / 2));
                // A lost lease is renewed after a random number of steps.
                self.lease_lost &= !self.next_random().is_multiple_of(8);
            }
            step::Step::Pause(ms) => self.pause(time::Duration::from_millis(u64::from(ms) / 2)),
            step::Step::Cancel(number) => {
                let recent = self.subs.keys().rev().nth(usize::from(number) % 8).copied();
                if let Some(sub) = recent {
                    self.deliver(dispatch::Event::Cancel {
                        coordinator: 1,
                        incarnation: 11,
                        sub,
                    });
                    if self.subs.get(&sub).is_some_and(|sub| !sub.ended) {
                        self.report_violation(format!(
                            "sub-request {sub} has no result after its cancellation"
                        ));
                    }
                }
            }
            step::Step::TakeOutServer(number) => {
                let name = self.servers[server(number)].name.clone();
                let catalog = sync::Arc::make_mut(&mut self.view.catalog);
                catalog.servers_out.insert(name, 1);
                self.view_changed();
            }
            step::Step::BringBackServer(number) => {
                let name = self.servers[server(number)].name.clone();
                let catalog = sync::Arc::make_mut(&mut self.view.catalog);
                if catalog.servers_out.remove(&name).is_some() {
                    self.servers[server(number)].reset_slow_start();
                    self.view_changed();
                }
            }
            step::Step::TakeOutZone(number) => {
                let catalog = sync::Arc::make_mut(&mut self.view.catalog);
                catalog.zones_out.insert(zone(number), 1);
                self.view_changed();
            }
            step::Step::BringBackZone(number) => {
                let catalog = sync::Arc::make_mut(&mut self.view.catalog);
                if catalog.zones_out.remove(&zone(number)).is_some() {
                    for index in 0..simulation::SERVERS {
                        if self.record(index).announcement.zone == zone(number) {
                            self.servers[index].reset_slow_start();
                        }
                    }
                    self.view_changed();
                }
            }
            step::Step::Crash(number) => self.crash(server(number)),
            step::Step::AnnounceLeaving(number) => {
                self.change(server(number), |record| {
                    record.announcement.phase = backend::Phase::Leaving;
                });
                self.servers[server(number)].releasing = true;
                self.view_changed();
            }
            step::Step::Unassign(number) => {
                self.change(server(number), |record| record.owner = None);
                self.servers[server(number)].released = false;
                self.servers[server(number)].releasing = true;
                self.view_changed();
            }
            step::Step::Assign(number) => self.assign(server(number)),
            step::Step::LoseLease => {
                self.lease_lost = true;
                self.view.lease_until = Some(self.now + time::Duration::from_millis(30));
                self.view_changed();
            }
            step::Step::SetMode(number, mode) => self.servers[server(number)].mode = mode,
            step::Step::SetSlots(number, slots) => {
                let slots = 1 + u32::from(slots) % 4;
                self.servers[server(number)].slots = slots;
                self.change(server(number), |record| record.announcement.slots = slots);
                self.view_changed();
            }
            step::Step::ToggleSuspect(number) => {
                let suspects = sync::Arc::make_mut(&mut self.view.suspects);
                if suspects.remove(&(2_000 + u64::from(number % 16))).is_none() {
                    suspects.insert(2_000 + u64::from(number % 16), 2);
                }
                self.view_changed();
            }
            step::Step::Drain => {
                self.draining = true;
                self.deliver(dispatch::Event::Drain);
            }
        }
    }

    fn view_changed(&mut self) {
        self.deliver(dispatch::Event::ViewChanged);
    }

    /// Assigns a server without an owner to this VM.
    fn assign(&mut self, server: usize) {
        if self.record(server).owner.is_some() {
            return;
        }
        let leaves = self.record(server).announcement.phase == backend::Phase::Leaving;
        self.change(server, |record| record.owner = Some(fixture::NODE));
        if std::mem::take(&mut self.servers[server].released) {
            self.servers[server].releasing = false;
        }
        self.servers[server].reset_slow_start();
        if leaves || self.servers[server].replied_gone {
            // Only a new process of the server is usable again.
            self.crash(server);
        }
        self.view_changed();
    }

    fn submit(&mut self, step: step::Step) {
        let step::Step::Submit {
            shard,
            kind,
            hedge,
            remaining_ms,
            submission,
            fingerprint,
            excluded,
        } = step
        else {
            return;
        };
        let id = self.subs.last().map_or(1, |(id, _)| id + 1);
        let remaining = time::Duration::from_millis(u64::from(remaining_ms));
        let shard = u32::from(shard) % simulation::SHARDS;
        let mut request = if submission {
            fixture::submission(id, remaining)
        } else {
            fixture::search(id, shard, remaining)
        };
        request.kind = kind;
        request.hedge = hedge;
        request.fingerprint = match fingerprint {
            0..=5 => simulation::POISON_FINGERPRINT,
            _ => 2_000 + u64::from(fingerprint % 64),
        };
        let excluded = excluded.map(|number| usize::from(number) % simulation::SERVERS);
        let names = excluded.map(|server| self.servers[server].name.clone());
        request.excluded = names.into_iter().collect();
        let accepted = sub_history::SubHistory {
            request: request.clone(),
            deadline: self.now + remaining,
            ran: false,
            send_count: 0,
            ended: false,
            refused_by: excluded.into_iter().collect(),
        };
        self.subs.insert(id, accepted);
        self.deliver(dispatch::Event::Submit(request.clone()));
        if self.next_random().is_multiple_of(16) && !self.subs.get(&id).is_some_and(|sub| sub.ended)
        {
            // A duplicate must be neither run nor answered twice.
            self.deliver(dispatch::Event::Submit(request));
        }
    }
}

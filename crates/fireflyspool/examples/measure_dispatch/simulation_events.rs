//! Execution of events and actions of a simulation.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{fixture, query, sim_event, simulation, sub};

const MS: time::Duration = time::Duration::from_millis(1);

impl simulation::Simulation {
    pub(crate) fn execute(&mut self, event: sim_event::SimEvent) {
        match event {
            sim_event::SimEvent::QueryArrived => {
                let gap = -(1.0 - self.next_random()).ln() / self.rate;
                self.schedule(
                    time::Duration::from_secs_f64(gap),
                    sim_event::SimEvent::QueryArrived,
                );
                let (start, pending) = (self.now, self.shards);
                let seconds = if self.mixed_deadlines {
                    0.5 + 3.5 * self.next_random()
                } else {
                    2.0
                };
                self.queries.push(query::Query {
                    start,
                    deadline: start + time::Duration::from_secs_f64(seconds),
                    pending,
                });
                for shard in 0..self.shards {
                    self.submit(self.queries.len() - 1, shard, None, Vec::new());
                }
            }
            sim_event::SimEvent::Answered(attempt) => {
                if let Some((server, _, request)) = self.running.remove(&attempt) {
                    let name = format!("s{server:02}");
                    let record = self.view.servers.get(name.as_str());
                    let incarnation = record.map_or(0, |r| r.announcement.incarnation);
                    let reply = fixture::reply(&request, incarnation);
                    self.deliver(dispatch::Event::Answered { attempt, reply });
                }
            }
            sim_event::SimEvent::ConnectionLost(attempt) => {
                if self.running.remove(&attempt).is_some() {
                    let sent = true;
                    self.deliver(dispatch::Event::ConnectionLost { attempt, sent });
                }
            }
            sim_event::SimEvent::Hedge(attempt) => {
                let Some((server, sub, _)) = self.running.get(&attempt) else {
                    return;
                };
                let (server, sub) = (*server, *sub);
                let within_budget = self.hedges * 1_000 < self.first_sends * 45;
                if !self.subs[sub].done && self.subs[sub].counterpart.is_none() && within_budget {
                    let first = &self.subs[sub];
                    let excluded = vec![format!("s{server:02}")];
                    self.submit(first.query, first.shard, Some(sub), excluded);
                }
            }
            sim_event::SimEvent::CancelAnswered(attempt) => {
                let state = if self.running.remove(&attempt).is_some() {
                    backend::CancelState::Cancelled
                } else {
                    backend::CancelState::Finished
                };
                self.deliver(dispatch::Event::CancelAnswered { attempt, state });
            }
        }
    }

    fn submit(
        &mut self,
        query: usize,
        shard: u32,
        counterpart: Option<usize>,
        excluded: Vec<String>,
    ) {
        let id = self.subs.len() as u64;
        self.subs.push(sub::Sub {
            query,
            shard,
            hedge: counterpart.is_some(),
            counterpart: counterpart.map(|counterpart| counterpart as u64),
            done: false,
        });
        if let Some(first) = counterpart {
            self.subs[first].counterpart = Some(id);
        }
        let deadline = self.queries[query].deadline;
        let remaining = deadline.saturating_duration_since(self.now);
        let request = dispatch::SubRequest {
            hedge: counterpart.is_some(),
            excluded,
            ..fixture::search(id, shard, remaining)
        };
        self.deliver(dispatch::Event::Submit(request));
    }

    pub(crate) fn deliver(&mut self, event: dispatch::Event) {
        let entropy = self.random;
        let actions = self.dispatcher.handle(event, &self.view, self.now, entropy);
        for action in &actions {
            match action {
                dispatch::Action::OpenConnections {
                    server,
                    incarnation,
                    ..
                } => {
                    // Opened at once, so that connection setup does not affect the results.
                    let (server, incarnation) = (server.clone(), *incarnation);
                    self.deliver(dispatch::Event::ConnectionOpened {
                        server,
                        incarnation,
                    });
                }
                dispatch::Action::CancelAttempt { attempt, .. } => {
                    self.schedule(MS, sim_event::SimEvent::CancelAnswered(*attempt));
                }
                dispatch::Action::Reply { sub, outcome, .. } => self.handle_reply(*sub, outcome),
                _ => {}
            }
        }
        for action in &actions {
            if let dispatch::Action::Send {
                attempt,
                server,
                body: dispatch::Body::Search(request),
                ..
            } = action
            {
                self.handle_send(*attempt, server, request);
            }
        }
    }

    fn handle_send(&mut self, attempt: u64, server: &str, request: &backend::SearchRequest) {
        let server = server[1..].parse::<usize>().expect("a number");
        let sub = request.request["request-".len()..].parse::<usize>();
        let sub = sub.expect("a number");
        let busy = self.running.values().filter(|run| run.0 == server).count();
        self.max_running = self.max_running.max(busy + 1);
        self.running.insert(attempt, (server, sub, request.clone()));
        if self.subs[sub].hedge {
            self.hedges += 1;
        } else {
            self.first_sends += 1;
        }
        if busy > 0 && self.now < self.cold_until[server] {
            self.schedule(2 * MS, sim_event::SimEvent::ConnectionLost(attempt));
            return;
        }
        let is_straggler = self.next_random() < 0.02;
        let service =
            MS.mul_f64(10.0 + 20.0 * self.next_random()) * if is_straggler { 6 } else { 1 };
        self.schedule(service, sim_event::SimEvent::Answered(attempt));
        let delay = self
            .hedge_quantile
            .and_then(|permille| self.dispatcher.service_quantile(permille, self.now));
        if let Some(delay) = delay.filter(|_| !self.subs[sub].hedge) {
            self.schedule(delay, sim_event::SimEvent::Hedge(attempt));
        }
    }

    fn handle_reply(&mut self, id: u64, outcome: &dispatch::SubOutcome) {
        let sub = &mut self.subs[id as usize];
        let was_done = std::mem::replace(&mut sub.done, true);
        let (query, shard, counterpart, hedge) = (sub.query, sub.shard, sub.counterpart, sub.hedge);
        if !matches!(outcome, dispatch::SubOutcome::Answered { .. }) {
            if !was_done && !hedge {
                self.failures += 1;
                let late = self.queries[query].start + time::Duration::from_secs(1) < self.now;
                if !late && counterpart.is_none() {
                    self.submit(query, shard, None, Vec::new());
                }
            }
            return;
        }
        if let Some(counterpart) = counterpart {
            if std::mem::replace(&mut self.subs[counterpart as usize].done, true) {
                return;
            }
            let (coordinator, incarnation) = (1, 11);
            self.deliver(dispatch::Event::Cancel {
                coordinator,
                incarnation,
                sub: counterpart,
            });
        }
        let query = &mut self.queries[query];
        query.pending -= 1;
        if query.pending == 0 {
            self.latencies.push(self.now.duration_since(query.start));
        }
    }
}

//! Events of a simulation.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::{fixture, happening, query, simulation, sub};

const MS: time::Duration = time::Duration::from_millis(1);

impl simulation::Simulation {
    pub(crate) fn happen(&mut self, happening: happening::Happening) {
        match happening {
            happening::Happening::Arrive => {
                let gap = -(1.0 - self.draw()).ln() / self.rate;
                self.later(
                    time::Duration::from_secs_f64(gap),
                    happening::Happening::Arrive,
                );
                let (start, missing) = (self.now, self.shards);
                let seconds = if self.mixed_deadlines {
                    0.5 + 3.5 * self.draw()
                } else {
                    2.0
                };
                self.queries.push(query::Query {
                    start,
                    deadline: start + time::Duration::from_secs_f64(seconds),
                    missing,
                });
                for shard in 0..self.shards {
                    self.submit(self.queries.len() - 1, shard, None, Vec::new());
                }
            }
            happening::Happening::Answer(attempt) => {
                if let Some((server, _, request)) = self.running.remove(&attempt) {
                    let name = format!("s{server:02}");
                    let record = self.view.servers.get(name.as_str());
                    let incarnation = record.map_or(0, |r| r.announcement.incarnation);
                    let reply = fixture::reply(&request, incarnation);
                    self.deliver(dispatch::Event::Answered { attempt, reply });
                }
            }
            happening::Happening::Break(attempt) => {
                if self.running.remove(&attempt).is_some() {
                    let sent = true;
                    self.deliver(dispatch::Event::ConnectionLost { attempt, sent });
                }
            }
            happening::Happening::Hedge(attempt) => {
                let Some((server, sub, _)) = self.running.get(&attempt) else {
                    return;
                };
                let (server, sub) = (*server, *sub);
                let within = self.hedges * 1_000 < self.firsts * 45;
                if !self.subs[sub].done && self.subs[sub].twin.is_none() && within {
                    let first = &self.subs[sub];
                    let excluded = vec![format!("s{server:02}")];
                    self.submit(first.query, first.shard, Some(sub), excluded);
                }
            }
            happening::Happening::CancelDone(attempt) => {
                let state = if self.running.remove(&attempt).is_some() {
                    backend::CancelState::Cancelled
                } else {
                    backend::CancelState::Finished
                };
                self.deliver(dispatch::Event::CancelAnswered { attempt, state });
            }
        }
    }

    fn submit(&mut self, query: usize, shard: u32, twin: Option<usize>, excluded: Vec<String>) {
        let id = self.subs.len() as u64;
        self.subs.push(sub::Sub {
            query,
            shard,
            hedge: twin.is_some(),
            twin: twin.map(|twin| twin as u64),
            done: false,
        });
        if let Some(first) = twin {
            self.subs[first].twin = Some(id);
        }
        let deadline = self.queries[query].deadline;
        let remaining = deadline.saturating_duration_since(self.now);
        let request = dispatch::SubRequest {
            hedge: twin.is_some(),
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
                    // At once, so that connections play no part in the figures.
                    let (server, incarnation) = (server.clone(), *incarnation);
                    self.deliver(dispatch::Event::ConnectionOpened {
                        server,
                        incarnation,
                    });
                }
                dispatch::Action::CancelAttempt { attempt, .. } => {
                    self.later(MS, happening::Happening::CancelDone(*attempt));
                }
                dispatch::Action::Reply { sub, outcome, .. } => self.replied(*sub, outcome),
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
                self.sent(*attempt, server, request);
            }
        }
    }

    fn sent(&mut self, attempt: u64, server: &str, request: &backend::SearchRequest) {
        let server = server[1..].parse::<usize>().expect("a number");
        let sub = request.request["request-".len()..].parse::<usize>();
        let sub = sub.expect("a number");
        let busy = self.running.values().filter(|run| run.0 == server).count();
        self.most_running = self.most_running.max(busy + 1);
        self.running.insert(attempt, (server, sub, request.clone()));
        if self.subs[sub].hedge {
            self.hedges += 1;
        } else {
            self.firsts += 1;
        }
        if busy > 0 && self.now < self.cold_until[server] {
            self.later(2 * MS, happening::Happening::Break(attempt));
            return;
        }
        let straggles = self.draw() < 0.02;
        let service = MS.mul_f64(10.0 + 20.0 * self.draw()) * if straggles { 6 } else { 1 };
        self.later(service, happening::Happening::Answer(attempt));
        let delay = self
            .hedge_quantile
            .and_then(|permille| self.dispatcher.service_quantile(permille, self.now));
        if let Some(delay) = delay.filter(|_| !self.subs[sub].hedge) {
            self.later(delay, happening::Happening::Hedge(attempt));
        }
    }

    fn replied(&mut self, id: u64, outcome: &dispatch::SubOutcome) {
        let sub = &mut self.subs[id as usize];
        let was_done = std::mem::replace(&mut sub.done, true);
        let (query, shard, twin, hedge) = (sub.query, sub.shard, sub.twin, sub.hedge);
        if !matches!(outcome, dispatch::SubOutcome::Answered { .. }) {
            if !was_done && !hedge {
                self.failures += 1;
                let late = self.queries[query].start + time::Duration::from_secs(1) < self.now;
                if !late && twin.is_none() {
                    self.submit(query, shard, None, Vec::new());
                }
            }
            return;
        }
        if let Some(twin) = twin {
            if std::mem::replace(&mut self.subs[twin as usize].done, true) {
                return;
            }
            let (coordinator, incarnation) = (1, 11);
            self.deliver(dispatch::Event::Cancel {
                coordinator,
                incarnation,
                sub: twin,
            });
        }
        let query = &mut self.queries[query];
        query.missing -= 1;
        if query.missing == 0 {
            self.latencies.push(self.now.duration_since(query.start));
        }
    }
}

//! State machine of one searcher.

use std::time;

use fireflyspool::{backend, ids};

use crate::searcher::{self, life};

/// Advice with a refusal for a full queue or while starting.
const RETRY_MS: u64 = 100;

/// Decides what one searcher does; its driver supplies time and random numbers.
#[derive(Debug)]
pub struct Machine {
    pub(super) profile: searcher::Profile,
    pub(super) clock: searcher::Clock,
    pub(super) stage: life::Stage,
    pub(super) workload: searcher::Workload,
    pub(super) counters: searcher::Counters,
    pub(super) sequence: u64,
    pub(super) announce_at: time::Instant,
    pub(super) sampled: (time::Instant, backend::Load),
    pub(super) parked: Option<Vec<searcher::Event>>,
    pub(super) actions: Vec<searcher::Action>,
}

impl Machine {
    /// A searcher that starts now.
    pub fn new(profile: searcher::Profile, clock: searcher::Clock, now: time::Instant) -> Self {
        let incarnation = ids::Incarnation::try_from(clock.unix(now).as_millis()).unwrap_or(1);
        let start = life::Life::start(incarnation, now + profile.behaviour.start_time);
        Self {
            counters: searcher::Counters::new(profile.name.clone(), clock.unix(now)),
            stage: life::Stage::Starting(start),
            workload: searcher::Workload::default(),
            sequence: 0,
            announce_at: now,
            sampled: (now, backend::Load::default()),
            parked: None,
            actions: Vec::new(),
            profile,
            clock,
        }
    }

    /// Takes an event and returns what to do.
    pub fn handle(
        &mut self,
        event: searcher::Event,
        entropy: u64,
        now: time::Instant,
    ) -> Vec<searcher::Action> {
        match (&mut self.parked, event) {
            (_, searcher::Event::Control(control)) => self.control(control, entropy, now),
            (_, searcher::Event::Look { ticket }) => {
                let sight = Box::new(self.sight(now));
                self.reply(ticket, searcher::Verdict::Seen(sight));
            }
            (Some(_), searcher::Event::Timer) => {}
            (Some(parked), event) => parked.push(event),
            (None, event) => self.process(event, now),
        }
        if self.parked.is_none() {
            self.advance(entropy, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When the machine wants a timer event.
    pub fn next_time(&self) -> Option<time::Instant> {
        if self.parked.is_some() {
            return None;
        }
        let work = self
            .workload
            .next_time(self.profile.behaviour.keeps_deadline);
        let announce = self.stage.phase().map(|_| self.announce_at);
        work.into_iter()
            .chain(announce)
            .chain(self.stage.until())
            .min()
    }

    /// Next announcement; nothing while away.
    pub fn announcement(
        &mut self,
        address: std::net::SocketAddr,
        now: time::Instant,
    ) -> Option<backend::Announcement> {
        let phase = self.stage.phase()?;
        self.sequence += 1;
        Some(backend::Announcement {
            server: self.profile.name.clone(),
            incarnation: self.stage.incarnation(),
            sequence: self.sequence,
            service: self.profile.service.clone(),
            zone: self.profile.zone.clone(),
            address,
            slots: self.profile.behaviour.slots,
            connections: self.profile.behaviour.connections,
            phase,
            hosted: self.profile.hosted.clone(),
            load: self.reported_load(now),
        })
    }

    fn process(&mut self, event: searcher::Event, now: time::Instant) {
        match event {
            searcher::Event::Arrive { ticket, work } => self.arrive(ticket, work, now),
            searcher::Event::Cancel { ticket, request } => {
                self.cancel(ticket, request.attempt, now);
            }
            searcher::Event::Connect { ticket } => self.connect(ticket),
            searcher::Event::Disconnect { incarnation } => {
                // A crash has already dropped the connections of older incarnations.
                if incarnation == self.stage.incarnation() {
                    self.counters.connections = self.counters.connections.saturating_sub(1);
                }
            }
            searcher::Event::Look { .. } | searcher::Event::Control(_) | searcher::Event::Timer => {
            }
        }
    }

    fn arrive(&mut self, ticket: ids::Ticket, work: searcher::Work, now: time::Instant) {
        let behaviour = &self.profile.behaviour;
        let attempt = work.attempt();
        let queued = self.workload.load();
        let full = queued.running >= behaviour.slots && queued.queued >= behaviour.queue_limit;
        let hosted = work
            .shard()
            .is_none_or(|shard| self.profile.hosted.contains(&shard));
        let marker = behaviour.crash_marker.as_deref();
        let marked = marker.is_some_and(|marker| work.text().contains(marker));
        let refusal = match &self.stage {
            life::Stage::Away(_) => return self.actions.push(searcher::Action::Abandon(ticket)),
            life::Stage::Starting(_) => Some((503, Some(RETRY_MS))),
            life::Stage::Leaving(_) => Some((410, None)),
            life::Stage::Ready(_) if !hosted => Some((409, None)),
            life::Stage::Ready(_) if behaviour.shed_ms.is_some() => Some((503, behaviour.shed_ms)),
            life::Stage::Ready(_) if full => Some((503, Some(RETRY_MS))),
            life::Stage::Ready(_) => None,
        };
        if let Some((status, retry_after_ms)) = refusal {
            self.refuse(ticket, attempt, status, false, retry_after_ms);
        } else if marked {
            self.actions.push(searcher::Action::Abandon(ticket));
            self.crash(now);
        } else {
            self.workload.enqueue(searcher::Job {
                ticket,
                deadline: now + work.time_left(),
                finish: now,
                work,
            });
        }
    }

    fn cancel(&mut self, ticket: ids::Ticket, attempt: ids::AttemptId, now: time::Instant) {
        let known = self.workload.load();
        let taken = if self.profile.behaviour.cancellable {
            self.workload.take(attempt)
        } else {
            None
        };
        let state = if let Some((job, ran)) = taken {
            self.counters.cancelled += 1;
            self.refuse(job.ticket, attempt, 499, ran, None);
            backend::CancelState::Cancelled
        } else if self.workload.has_ended(attempt) {
            backend::CancelState::Finished
        } else {
            backend::CancelState::Unknown
        };
        self.sample(known, now);
        let reply = searcher::CancelReply { attempt, state };
        self.reply(ticket, searcher::Verdict::Cancel(reply));
    }

    fn connect(&mut self, ticket: ids::Ticket) {
        let full = self.counters.connections >= self.profile.behaviour.connections;
        if full || self.stage.phase().is_none() {
            self.counters.rejected_connections += 1;
            return self.reply(ticket, searcher::Verdict::Rejected);
        }
        self.counters.connections += 1;
        let most = self
            .counters
            .most_connections
            .max(self.counters.connections);
        self.counters.most_connections = most;
        let admitted = searcher::Verdict::Admitted {
            incarnation: self.stage.incarnation(),
            setup: self.profile.behaviour.setup,
        };
        self.reply(ticket, admitted);
    }
}

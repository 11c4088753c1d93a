//! Admission of requests on one entry VM.

use std::time;

use crate::{admission, ids, outcome, sorted};

/// Shortest retry time given to a refused caller.
pub(crate) const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);

/// Interval at which held-back requests are checked again near the peak, because
/// no event reports that the peak has passed.
const PACING_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A held-back request starts at the latest this many times the usual request time
/// before its deadline.
const PACING_SLACK_FACTOR: u32 = 3;

/// Lower bound of that time, which applies until request times were observed.
const MIN_PACING_SLACK: time::Duration = time::Duration::from_millis(100);

/// Part of the time to its objective for which a request with a forecast may wait.
const WAIT_DIVISOR: u32 = 5;

/// Decides which requests run, wait or are refused.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    pub(super) queue: admission::queue::Queue,
    running: sorted::SortedMap<ids::Ticket, Started>,
    /// Cost of all running requests, in sub-requests.
    load: u64,
    pub(super) limit: admission::ConcurrencyLimit,
    credits: admission::start_credits::StartCredits,
    pub(super) shedding: admission::shedding::Shedding,
    /// Whether the limit is not applied, because the last forecast showed no shortage.
    unlimited: bool,
    wake: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    kind: outcome::Kind,
    cost: u64,
    started_at: time::Instant,
}

impl Admission {
    /// Admission without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an event and returns the decisions that follow, in order.
    pub fn handle(
        &mut self,
        event: admission::Event,
        limits: &admission::Limits,
        now: time::Instant,
    ) -> Vec<admission::Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            admission::Event::Arrived {
                ticket,
                kind,
                deadline,
                cost,
            } => {
                let waiting = admission::waiting::Waiting {
                    ticket,
                    deadline,
                    answer_by: deadline,
                    retry_after: None,
                    cost: cost.max(1),
                    held_back: false,
                };
                self.arrive(kind, waiting, limits, now, &mut actions);
            }
            admission::Event::Assessed {
                ticket,
                kind,
                deadline,
                cost,
                forecast,
            } => {
                self.unlimited = !forecast.is_shortage();
                let waiting = admission::waiting::Waiting {
                    ticket,
                    deadline: wait_limit(&forecast, deadline, now),
                    answer_by: deadline,
                    retry_after: Some(admission::shedding::retry_after(deadline, &forecast, now)),
                    cost: cost.max(1),
                    held_back: false,
                };
                match self.shedding.judge(kind, &waiting, &forecast, now) {
                    Some(shed) => actions.push(admission::Action::Refuse {
                        ticket,
                        reason: shed.reason,
                        retry_after: shed.retry_after,
                    }),
                    None => self.arrive(kind, waiting, limits, now, &mut actions),
                }
            }
            admission::Event::Ended { ticket, end } => self.end(ticket, end, now),
            admission::Event::Timer => {}
        }
        self.start(limits, now, &mut actions);
        self.shed_excess(limits, &mut actions);
        self.wake = self.find_wake(limits, now);
        actions
    }

    /// When [`admission::Event::Timer`] is due; `None` while nothing waits.
    pub fn next_wake(&self) -> Option<time::Instant> {
        self.wake
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that were started and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Cost of the requests that were started and have not ended, in sub-requests.
    pub fn load(&self) -> u64 {
        self.load
    }

    /// Adaptive limit of the cost of running requests.
    pub fn limit(&self) -> &admission::ConcurrencyLimit {
        &self.limit
    }

    fn end(&mut self, ticket: ids::Ticket, end: admission::End, now: time::Instant) {
        let Some(started) = self.running.remove(&ticket) else {
            self.queue.remove(ticket);
            return;
        };
        let request_time = now.saturating_duration_since(started.started_at);
        if end != admission::End::Gone {
            let served = end == admission::End::InTime;
            self.shedding.ended(started.kind, served, now);
        }
        match end {
            admission::End::InTime => {
                let (kind, cost) = (started.kind, started.cost);
                self.limit
                    .ended_in_time(kind, cost, self.load, request_time);
            }
            admission::End::Late => self.limit.ended_late(started.kind, request_time, now),
            admission::End::Gone => {}
        }
        self.load -= started.cost;
    }

    fn expire(&mut self, now: time::Instant, actions: &mut Vec<admission::Action>) {
        for kind in outcome::Kind::ALL {
            while self
                .queue
                .first(kind)
                .is_some_and(|first| first.deadline <= now)
            {
                let Some(expired) = self.queue.pop_first(kind) else {
                    break;
                };
                actions.push(admission::Action::Refuse {
                    ticket: expired.ticket,
                    reason: if expired.held_back {
                        outcome::RefusalReason::Paced
                    } else {
                        outcome::RefusalReason::Deadline
                    },
                    retry_after: expired
                        .retry_after
                        .unwrap_or(self.limit.request_time(kind).max(MIN_RETRY_AFTER)),
                });
            }
        }
    }

    fn start(
        &mut self,
        limits: &admission::Limits,
        now: time::Instant,
        actions: &mut Vec<admission::Action>,
    ) {
        while let Some(kind) = self.next_kind(limits, now) {
            let fits = self
                .queue
                .first(kind)
                .is_some_and(|first| self.fits(u64::from(first.cost)));
            // A request that does not fit blocks those behind it; otherwise smaller ones
            // would overtake it until it starves.
            if !fits {
                return;
            }
            let Some(next) = self.queue.pop_first(kind) else {
                return;
            };
            let queue = &self.queue;
            self.credits
                .started(kind, |other| queue.count(other) > 0, limits.low_share);
            let cost = u64::from(next.cost);
            self.load += cost;
            self.running.insert(
                next.ticket,
                Started {
                    kind,
                    cost,
                    started_at: now,
                },
            );
            actions.push(admission::Action::Start {
                ticket: next.ticket,
            });
        }
    }

    fn next_kind(
        &mut self,
        limits: &admission::Limits,
        now: time::Instant,
    ) -> Option<outcome::Kind> {
        let paced = limits.paced && self.latest_start().is_some_and(|latest| now < latest);
        if paced && let Some(first) = self.queue.first_mut(outcome::Kind::Deferrable) {
            first.held_back = true;
        }
        let can_start = |kind: &outcome::Kind| {
            self.queue.count(*kind) > 0 && !(paced && *kind == outcome::Kind::Deferrable)
        };
        let due = |kind: &outcome::Kind| self.credits.is_due(*kind, limits.low_share);
        let kinds = outcome::Kind::ALL.into_iter().filter(can_start);
        kinds.clone().rev().find(due).or_else(|| kinds.min())
    }

    /// Time up to which the first deferrable request may be held back.
    fn latest_start(&self) -> Option<time::Instant> {
        let first = self.queue.first(outcome::Kind::Deferrable)?;
        let slack = self.limit.request_time(outcome::Kind::Deferrable) * PACING_SLACK_FACTOR;
        let slack = slack.max(MIN_PACING_SLACK);
        Some(first.deadline.checked_sub(slack).unwrap_or(first.deadline))
    }

    /// Whether a request of this cost may start. One may always run alone, however
    /// large it is.
    pub(super) fn fits(&self, cost: u64) -> bool {
        self.unlimited || self.load == 0 || self.load + cost <= self.limit.current()
    }

    fn find_wake(&self, limits: &admission::Limits, now: time::Instant) -> Option<time::Instant> {
        let kinds = outcome::Kind::ALL.into_iter();
        let firsts = kinds.filter_map(|kind| self.queue.first(kind));
        let expiry = firsts.map(|first| first.deadline).min()?;
        let paced = limits.paced && self.queue.count(outcome::Kind::Deferrable) > 0;
        if !paced {
            return Some(expiry);
        }
        let latest = self.latest_start().filter(|latest| now < *latest);
        let check = latest.map_or(expiry, |latest| latest.min(now + PACING_INTERVAL));
        Some(expiry.min(check))
    }
}

/// Until when a request may wait: a refusal within a quarter of the time to its objective
/// leaves its caller time to be served elsewhere.
fn wait_limit(
    forecast: &admission::Forecast,
    deadline: time::Instant,
    now: time::Instant,
) -> time::Instant {
    let ahead = forecast.objective.saturating_duration_since(now);
    deadline.min(now + ahead / WAIT_DIVISOR)
}

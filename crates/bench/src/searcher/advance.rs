//! What the machine does by itself as time passes.

use std::time;

use fireflyspool::{backend, ids, outcome};

use crate::{
    hits,
    searcher::{self, life, machine},
};

/// Interval of announcements; entry VMs drop a record 5 s after the last one.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time for the last replies to leave the process before it ends.
const REPLY_TIME: time::Duration = time::Duration::from_millis(100);

impl machine::Machine {
    /// Ends what has finished, starts what waits and changes state when it is time.
    pub(super) fn advance(&mut self, entropy: u64, now: time::Instant) {
        self.finish_jobs(now);
        self.change_stage(now);
        self.start_jobs(entropy, now);
        if self.stage.phase().is_some() && now >= self.announce_at {
            self.announce(false, now);
        }
    }

    /// Requests an announcement; a change of phase goes to every entry address.
    pub(super) fn announce(&mut self, everywhere: bool, now: time::Instant) {
        self.announce_at = now + ANNOUNCE_INTERVAL;
        self.actions.push(searcher::Action::Announce { everywhere });
    }

    /// Drops everything and goes away for the restart time.
    pub(super) fn crash(&mut self, now: time::Instant) {
        self.counters.crashes += 1;
        self.counters.connections = 0;
        for job in self.workload.clear() {
            self.actions.push(searcher::Action::Abandon(job.ticket));
        }
        self.actions.push(searcher::Action::CloseConnections);
        let until = now + self.profile.behaviour.restart_time;
        self.stage = self.stage.crash(until);
    }

    fn change_stage(&mut self, now: time::Instant) {
        let idle = self.workload.load() == backend::Load::default();
        match self.stage {
            life::Stage::Away(life) if now >= life.state().until => {
                let unix_ms = u64::try_from(self.clock.unix(now).as_millis()).unwrap_or(u64::MAX);
                let until = now + self.profile.behaviour.start_time;
                self.sequence = 0;
                self.stage = life::Stage::Starting(life.restart(unix_ms, until));
                self.announce(true, now);
                self.change_stage(now);
            }
            life::Stage::Starting(life) if now >= life.state().until => {
                self.stage = life::Stage::Ready(life.ready(now));
                self.announce(true, now);
            }
            life::Stage::Leaving(life) if idle && now >= life.state().until => {
                self.actions.push(searcher::Action::End);
            }
            _ => {}
        }
    }

    fn finish_jobs(&mut self, now: time::Instant) {
        for job in self.workload.take_finished(now) {
            self.counters.finished += 1;
            let verdict = self.result(&job.work, now);
            self.reply(job.ticket, verdict);
            self.stay_for_reply(now);
        }
        if self.profile.behaviour.keeps_deadline {
            for (job, ran) in self.workload.take_expired(now) {
                self.counters.expired += 1;
                self.refuse(job.ticket, job.work.attempt(), 504, ran, None);
            }
        }
    }

    fn stay_for_reply(&mut self, now: time::Instant) {
        if let life::Stage::Leaving(life) = self.stage {
            let until = now + self.profile.behaviour.delay + REPLY_TIME;
            self.stage = life::Stage::Leaving(life.extend(until));
        }
    }

    fn start_jobs(&mut self, entropy: u64, now: time::Instant) {
        let waiting = self.workload.load();
        let mut bits = entropy;
        while self.workload.load().running < self.profile.behaviour.slots {
            let Some(mut job) = self.workload.dequeue() else {
                break;
            };
            if let searcher::Work::Submit(request) = &job.work {
                self.counters.count_submission(&request.request);
            }
            let warmth = self.warmth(now);
            // One event can start several jobs; each gets its own random bits.
            bits = bits.wrapping_mul(0x5851_F42D_4C95_7F2D).rotate_left(29);
            job.finish = now + self.profile.behaviour.run_time(warmth, bits);
            self.workload.run(job);
            self.counters.count_run(self.clock.unix(now));
            let load = self.workload.load();
            self.counters.most_running = self.counters.most_running.max(load.running);
            let limit = self.profile.behaviour.cold_limit;
            if warmth < 1.0 && limit.is_some_and(|limit| load.running > limit) {
                return self.crash(now);
            }
        }
        let load = self.workload.load();
        self.counters.most_queued = self.counters.most_queued.max(load.queued);
        self.sample(waiting, now);
    }

    fn warmth(&self, now: time::Instant) -> f64 {
        match &self.stage {
            life::Stage::Ready(life) => life.state().warmth(self.profile.behaviour.cold_time, now),
            _ => 1.0,
        }
    }

    fn result(&self, work: &searcher::Work, now: time::Instant) -> searcher::Verdict {
        match work {
            searcher::Work::Search(request) => {
                let snapshot = outcome::Snapshot {
                    collection: request.collection.clone(),
                    version: request.version,
                };
                let mut hits = hits::of_shard(&snapshot, request.shard, &request.text);
                hits.truncate(usize::try_from(request.limit).unwrap_or(usize::MAX));
                searcher::Verdict::Found(backend::SearchReply {
                    attempt: request.attempt,
                    incarnation: self.stage.incarnation(),
                    version: request.version,
                    shard: request.shard,
                    hits,
                    load: self.reported_load(now),
                })
            }
            searcher::Work::Submit(request) => searcher::Verdict::Submitted(backend::SubmitReply {
                attempt: request.attempt,
                incarnation: self.stage.incarnation(),
                receipt: format!("{}@{}", request.request, self.profile.name),
            }),
        }
    }

    /// Answers a ticket after the network delay.
    pub(super) fn reply(&mut self, ticket: ids::Ticket, verdict: searcher::Verdict) {
        let delay = match verdict {
            searcher::Verdict::Found(_)
            | searcher::Verdict::Submitted(_)
            | searcher::Verdict::Refused(..)
            | searcher::Verdict::Cancel(_) => self.profile.behaviour.delay,
            _ => time::Duration::ZERO,
        };
        self.actions.push(searcher::Action::Reply {
            ticket,
            verdict,
            delay,
        });
    }

    /// Refuses an attempt, or reports that it was stopped.
    pub(super) fn refuse(
        &mut self,
        ticket: ids::Ticket,
        attempt: ids::AttemptId,
        status: u16,
        ran: bool,
        retry_after_ms: Option<u64>,
    ) {
        self.counters.count_refused(status);
        let reply = backend::RefusedReply {
            attempt,
            ran,
            retry_after_ms,
        };
        self.reply(ticket, searcher::Verdict::Refused(status, reply));
    }
}

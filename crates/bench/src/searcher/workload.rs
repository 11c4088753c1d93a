//! Requests that wait and run at a searcher.

use std::{collections, time};

use fireflyspool::{backend, ids};

use crate::searcher;

/// Attempts whose end is remembered, to tell `finished` from `unknown`.
const REMEMBERED: usize = 1_024;

/// Jobs of a searcher.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    waiting: collections::VecDeque<searcher::Job>,
    running: Vec<searcher::Job>,
    ended: collections::VecDeque<ids::AttemptId>,
}

impl Workload {
    /// True load.
    pub fn load(&self) -> backend::Load {
        let count = |length| u32::try_from(length).unwrap_or(u32::MAX);
        backend::Load {
            running: count(self.running.len()),
            queued: count(self.waiting.len()),
        }
    }

    /// Adds a job to the end of the queue.
    pub fn enqueue(&mut self, job: searcher::Job) {
        self.waiting.push_back(job);
    }

    /// Takes the first waiting job.
    pub fn dequeue(&mut self) -> Option<searcher::Job> {
        self.waiting.pop_front()
    }

    /// Adds a job that runs.
    pub fn run(&mut self, job: searcher::Job) {
        self.running.push(job);
    }

    /// Removes the jobs that have finished.
    pub fn take_finished(&mut self, now: time::Instant) -> Vec<searcher::Job> {
        let jobs: Vec<_> = self
            .running
            .extract_if(.., |job| job.finish <= now)
            .collect();
        self.remember(&jobs);
        jobs
    }

    /// Removes the jobs whose deadline has passed; the flag tells whether a job ran.
    pub fn take_expired(&mut self, now: time::Instant) -> Vec<(searcher::Job, bool)> {
        let mut expired = Vec::new();
        self.waiting.retain(|job| {
            let keep = job.deadline > now;
            if !keep {
                expired.push((job.clone(), false));
            }
            keep
        });
        let ran = self.running.extract_if(.., |job| job.deadline <= now);
        expired.extend(ran.map(|job| (job, true)));
        let jobs: Vec<_> = expired.iter().map(|entry| entry.0.clone()).collect();
        self.remember(&jobs);
        expired
    }

    /// Removes an attempt; the flag tells whether it ran.
    pub fn take(&mut self, attempt: ids::AttemptId) -> Option<(searcher::Job, bool)> {
        let named = |job: &searcher::Job| job.work.attempt() == attempt;
        if let Some(position) = self.running.iter().position(named) {
            return Some((self.running.remove(position), true));
        }
        let position = self.waiting.iter().position(named)?;
        self.waiting.remove(position).map(|job| (job, false))
    }

    /// Whether an attempt ended a short while ago.
    pub fn has_ended(&self, attempt: ids::AttemptId) -> bool {
        self.ended.contains(&attempt)
    }

    /// Removes all jobs, as a crash does.
    pub fn clear(&mut self) -> Vec<searcher::Job> {
        self.ended.clear();
        let mut jobs: Vec<_> = self.running.drain(..).collect();
        jobs.extend(self.waiting.drain(..));
        jobs
    }

    /// Time of the next finish, or deadline if those count.
    pub fn next_time(&self, keeps_deadline: bool) -> Option<time::Instant> {
        let finish = self.running.iter().map(|job| job.finish).min();
        let jobs = self.running.iter().chain(&self.waiting);
        let deadline = jobs.map(|job| job.deadline).min();
        let deadline = deadline.filter(|_| keeps_deadline);
        finish.into_iter().chain(deadline).min()
    }

    fn remember(&mut self, jobs: &[searcher::Job]) {
        for job in jobs {
            if self.ended.len() == REMEMBERED {
                self.ended.pop_front();
            }
            self.ended.push_back(job.work.attempt());
        }
    }
}

//! Instructions to the machine and what it shows of itself.

use std::time;

use fireflyspool::backend;

use crate::searcher::{self, life, machine};

impl machine::Machine {
    /// Carries out an instruction.
    pub(super) fn control(&mut self, control: searcher::Control, entropy: u64, now: time::Instant) {
        match control {
            // The HTTP layer checks the patch first; a bad one changes nothing.
            searcher::Control::Set { behaviour } => {
                if let Ok(behaviour) = self.profile.behaviour.patched(&behaviour) {
                    self.profile.behaviour = behaviour;
                }
            }
            searcher::Control::Behave(behaviour) => self.profile.behaviour = *behaviour,
            searcher::Control::AddVersion(shard) => {
                if let Err(position) = self.profile.hosted.binary_search(&shard) {
                    self.profile.hosted.insert(position, shard);
                }
                self.announce(true, now);
            }
            searcher::Control::DropVersion {
                collection,
                version,
            } => {
                let other = |shard: &backend::HostedShard| {
                    shard.collection != collection || shard.version != version
                };
                self.profile.hosted.retain(other);
                self.announce(true, now);
            }
            searcher::Control::Cold => {
                if let life::Stage::Ready(life) = self.stage {
                    self.stage = life::Stage::Ready(life.chill(now));
                }
            }
            searcher::Control::Drain => self.drain(now),
            searcher::Control::Pause => {
                self.parked.get_or_insert_default();
            }
            searcher::Control::Resume => self.resume(entropy, now),
            searcher::Control::Crash => self.crash(now),
            searcher::Control::Stop => self.actions.push(searcher::Action::End),
        }
    }

    fn drain(&mut self, now: time::Instant) {
        let until = now + self.profile.behaviour.leave_time;
        self.stage = match self.stage {
            life::Stage::Starting(life) => life::Stage::Leaving(life.ready(now).drain(until)),
            life::Stage::Ready(life) => life::Stage::Leaving(life.drain(until)),
            other => other,
        };
        if matches!(self.stage, life::Stage::Leaving(_)) {
            self.announce(true, now);
        }
    }

    fn resume(&mut self, entropy: u64, now: time::Instant) {
        for event in self.parked.take().unwrap_or_default() {
            let mut actions = std::mem::take(&mut self.actions);
            let more = self.handle(event, entropy, now);
            actions.extend(more);
            self.actions = actions;
        }
    }

    /// Load as reported, which may lag or be false.
    pub(super) fn reported_load(&self, now: time::Instant) -> backend::Load {
        let behaviour = &self.profile.behaviour;
        let fresh = now.saturating_duration_since(self.sampled.0) >= behaviour.load_lag;
        let load = if fresh {
            self.workload.load()
        } else {
            self.sampled.1
        };
        behaviour.false_load.unwrap_or(load)
    }

    /// Keeps a sample of the load for reports that lag.
    pub(super) fn sample(&mut self, load: backend::Load, now: time::Instant) {
        let age = now.saturating_duration_since(self.sampled.0);
        if age >= self.profile.behaviour.load_lag {
            self.sampled = (now, load);
        }
    }

    /// Everything that can be read.
    pub(super) fn sight(&self, now: time::Instant) -> searcher::Sight {
        let ready = matches!(self.stage, life::Stage::Ready(_));
        searcher::Sight {
            incarnation: self.stage.incarnation(),
            load: self.reported_load(now),
            healthy: self.profile.behaviour.false_health.unwrap_or(ready),
            behaviour: self.profile.behaviour.clone(),
            counters: self.counters.clone(),
        }
    }
}

//! One backend server, as this VM's requests see it.

use std::{net, time};

use crate::{backend, fleet, hashing, hub, ids, registry};

/// Weight of a new latency sample.
const LATENCY_WEIGHT: f64 = 0.3;

/// Weight of a new failure or success.
const FAILURE_WEIGHT: f64 = 0.25;

/// Score of leaving the zone, in units of a typical latency: the way there and
/// back, and the price of traffic between zones.
const ZONE_PENALTY: f64 = 4.0;

/// Most by which an entry VM prefers one server of another zone to another one,
/// in units of a typical latency; above what one running request makes.
///
/// Servers accept fewer connections than there are entry VMs, so each entry VM
/// keeps to one of the other zones while it can.
const PREFERENCE: f64 = 1.0;

/// Time for which a reported server is watched for an answer that is fast again.
const WATCH: time::Duration = time::Duration::from_secs(1);

/// Multiple of the typical latency up to which an answer is fast.
const FAST_FACTOR: f64 = 2.0;

/// Failures in a row after which a server counts as unreachable.
const BROKEN_LIMIT: u32 = 6;

/// Backend server with what attempts showed.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) address: net::SocketAddr,
    pub(super) local: bool,
    /// Score of leaving the zone for it; the same for this process at all times.
    pub(super) zone_penalty: f64,
    pub(super) born: ids::BornMillis,
    pub(super) slots: f64,
    serving: bool,
    cold_until: time::Instant,
    zone_out: bool,
    pub(super) suspended: Option<time::Instant>,
    pub(super) running: usize,
    /// Attempts under way that take longer than usual.
    pub(super) overdue: Vec<ids::Ticket>,
    /// When an overdue or failed attempt was last reported to the control VMs.
    reported: Option<time::Instant>,
    /// Latency relative to what is typical.
    pub(super) slowness: f64,
    pub(super) slowness_at: time::Instant,
    /// Whether entry VMs together find it slow or failing.
    pub(super) outlier: bool,
    pub(super) load: f64,
    pub(super) load_at: time::Instant,
    pub(super) failures: f64,
    pub(super) failures_at: time::Instant,
    broken: u32,
}

impl Target {
    pub(super) fn new(
        server: &fleet::KnownServer,
        (zone, incarnation): (&str, ids::Incarnation),
        now: time::Instant,
    ) -> Self {
        let record = &server.record;
        let local = record.zone == zone;
        let hasher = hashing::StableHasher::new().number(incarnation);
        let hash = hasher.text(&record.server).finish();
        let share = (hash >> 40) as f64 / f64::from(1 << 24);
        Self {
            address: record.address,
            local,
            zone_penalty: match local {
                true => 0.0,
                false => ZONE_PENALTY + PREFERENCE * share,
            },
            born: record.born,
            slots: f64::from(record.slots.max(1)),
            serving: false,
            cold_until: server.cold_until,
            zone_out: false,
            suspended: None,
            running: 0,
            overdue: Vec::new(),
            reported: None,
            slowness: 1.0,
            slowness_at: now,
            outlier: false,
            load: 0.0,
            load_at: now,
            failures: 0.0,
            failures_at: now,
            broken: 0,
        }
    }

    /// Takes what the control VMs say.
    pub(super) fn follow(
        &mut self,
        server: &fleet::KnownServer,
        (out, outlier): (bool, bool),
        now: time::Instant,
    ) {
        self.outlier = outlier;
        let record = &server.record;
        self.serving = record.phase == registry::Phase::Serving && !record.silent;
        self.cold_until = server.cold_until;
        self.slots = f64::from(record.slots.max(1));
        if self.zone_out && !out {
            // Servers of a zone that returns may have become cold since their last report.
            self.suspended = Some(now);
        }
        self.zone_out = out;
        if self.suspended.is_some_and(|since| server.heard > since) {
            self.suspended = None;
            self.broken = 0;
        }
    }

    pub(super) fn is_usable(&self, now: time::Instant) -> bool {
        self.serving && !self.zone_out && self.cold_until <= now && self.suspended.is_none()
    }

    pub(super) fn start(&mut self) {
        self.running += 1;
    }

    /// Notes that an attempt takes longer than usual.
    pub(super) fn note_overdue(&mut self, token: ids::Ticket, elapsed: f64, now: time::Instant) {
        self.overdue.push(token);
        self.reported = Some(now);
        if elapsed > self.slowness {
            self.slowness = elapsed;
            self.slowness_at = now;
        }
    }

    pub(super) fn note_load(&mut self, load: backend::Load, now: time::Instant) {
        self.load = f64::from(load.running) + f64::from(load.queued);
        self.load_at = now;
    }

    /// Notes the end of an attempt; `typical` is the typical latency of its route.
    ///
    /// Returns what to report to the control VMs.
    pub(super) fn end(
        &mut self,
        token: ids::Ticket,
        result: fleet::AttemptResult,
        typical: time::Duration,
        now: time::Instant,
    ) -> Option<hub::Symptom> {
        self.running = self.running.saturating_sub(1);
        self.overdue.retain(|overdue| *overdue != token);
        let relative =
            |elapsed: time::Duration| elapsed.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        match result {
            fleet::AttemptResult::Answered { elapsed } => {
                self.slowness += LATENCY_WEIGHT * (relative(elapsed) - self.slowness);
                self.slowness_at = now;
                self.note_failure(0.0, now);
                self.broken = 0;
                if relative(elapsed) < FAST_FACTOR {
                    return self.recovered(now);
                }
            }
            fleet::AttemptResult::Abandoned { elapsed } => {
                let relative = relative(elapsed);
                if relative > self.slowness {
                    self.slowness = relative;
                    self.slowness_at = now;
                }
            }
            fleet::AttemptResult::Rejected => self.note_failure(1.0, now),
            fleet::AttemptResult::Failed => {
                self.note_failure(1.0, now);
                self.broken += 1;
                if self.broken >= BROKEN_LIMIT {
                    self.suspended = Some(now);
                }
                self.reported = Some(now);
                return Some(hub::Symptom::Failed);
            }
            fleet::AttemptResult::Unreachable => {
                self.note_failure(1.0, now);
                self.suspended = Some(now);
            }
        }
        None
    }

    /// Whether a fast answer contradicts what was reported a moment ago.
    fn recovered(&mut self, now: time::Instant) -> Option<hub::Symptom> {
        let at = self.reported.take()?;
        (now.saturating_duration_since(at) < WATCH).then_some(hub::Symptom::Recovered)
    }

    fn note_failure(&mut self, sample: f64, now: time::Instant) {
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
        self.failures_at = now;
    }
}

//! State of one backend server, from its reports and the attempts of this VM.

use std::{net, time};

use crate::{backend, fleet, hashing, hub, ids, registry};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.3;

/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Score of a server in another zone, in units of a typical latency: for the
/// round trip between zones and the price of the traffic.
const ZONE_PENALTY: f64 = 4.0;

/// Largest difference that the preference of an entry VM makes between two
/// servers of other zones, in units of a typical latency; larger than the
/// difference that one running request makes.
///
/// Servers accept fewer connections than there are entry VMs, so each entry VM
/// keeps to one server of the other zones while it can.
const MAX_PREFERENCE: f64 = 1.0;

/// Time after a reported symptom within which a fast response is reported as a recovery.
const RECOVERY_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Multiple of the typical latency below which a response is fast.
const FAST_FACTOR: f64 = 2.0;

/// Consecutive failures after which a server is suspended.
const FAILURE_LIMIT: u32 = 6;

/// Backend server with the statistics of attempts at it.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) address: net::SocketAddr,
    pub(super) local: bool,
    pub(super) zone: ids::ZoneName,
    pub(super) version: ids::ServerVersion,
    /// Score of its zone and of this VM's preference; constant while this process runs.
    pub(super) zone_penalty: f64,
    /// This VM's preference among servers of the same zone, 0 to 1.
    preference: f64,
    /// Fraction of a connection, 0 to 1, above which this VM's share is rounded up.
    pub(super) threshold: f64,
    pub(super) connections: fleet::connection_limit::ConnectionLimit,
    pub(super) born: ids::BornMillis,
    pub(super) slots: f64,
    serving: bool,
    /// Whether it has said that it leaves, or has left.
    pub(super) leaving: bool,
    /// Whether it has the target version of the latest rollout of its service.
    pub(super) is_target: bool,
    /// Until when it waits for a rollout, because its version is new to the service.
    pub(super) held_until: Option<time::Instant>,
    cold_until: time::Instant,
    zone_out: bool,
    /// Since when it is not used; ends with a heartbeat after that.
    pub(super) suspended: Option<time::Instant>,
    /// Attempts under way.
    pub(super) running: usize,
    /// Tokens of the attempts under way that take longer than usual.
    pub(super) overdue: Vec<ids::Ticket>,
    /// Whether it has answered an attempt of this VM.
    pub(super) answered: bool,
    /// When an overdue or failed attempt was last reported to the control VMs.
    reported_at: Option<time::Instant>,
    /// Moving average of the latency, as a multiple of the typical one.
    pub(super) latency_ratio: f64,
    pub(super) latency_at: time::Instant,
    /// Whether the control VMs find it slow or failing from the reports of all entry VMs.
    pub(super) outlier: bool,
    /// Running and queued requests that it last reported.
    pub(super) load: f64,
    pub(super) load_at: time::Instant,
    /// Latest figures with a pace; `None` if it has stated none.
    pub(super) pace: Option<fleet::stated_pace::StatedPace>,
    /// Moving average of failures, 0 to 1.
    pub(super) failures: f64,
    pub(super) failures_at: time::Instant,
    /// Failures since the last success.
    failure_streak: u32,
}

impl ServerState {
    pub(super) fn new(
        server: &fleet::KnownServer,
        (zone, incarnation): (&str, ids::Incarnation),
        now: time::Instant,
    ) -> Self {
        let record = &server.record;
        let local = record.zone == zone;
        let hasher = hashing::StableHasher::new().number(incarnation);
        let hash = hasher.text(&record.server).finish();
        let preference = (hash >> 40) as f64 / f64::from(1 << 24);
        // It must not depend on the preference, which decides the rank.
        let rounding = hasher.text(&record.server).text("rounding").finish();
        Self {
            address: record.address,
            local,
            zone: record.zone.clone(),
            version: record.version.clone(),
            zone_penalty: match local {
                true => 0.0,
                false => ZONE_PENALTY + MAX_PREFERENCE * preference,
            },
            preference,
            threshold: (rounding >> 40) as f64 / f64::from(1 << 24),
            connections: fleet::connection_limit::ConnectionLimit::new(),
            born: record.born,
            slots: f64::from(record.slots.max(1)),
            serving: false,
            leaving: false,
            is_target: false,
            held_until: None,
            cold_until: server.cold_until,
            zone_out: false,
            suspended: None,
            running: 0,
            overdue: Vec::new(),
            answered: false,
            reported_at: None,
            latency_ratio: 1.0,
            latency_at: now,
            outlier: false,
            load: 0.0,
            load_at: now,
            pace: None,
            failures: 0.0,
            failures_at: now,
            failure_streak: 0,
        }
    }

    /// Applies the latest report of the control VMs.
    pub(super) fn update(
        &mut self,
        server: &fleet::KnownServer,
        (zone_out, outlier): (bool, bool),
        now: time::Instant,
    ) {
        self.outlier = outlier;
        let record = &server.record;
        self.leaving = record.phase != registry::Phase::Serving;
        self.serving = record.phase == registry::Phase::Serving && !record.silent;
        self.cold_until = server.cold_until;
        self.slots = f64::from(record.slots.max(1));
        self.version.clone_from(&record.version);
        if self.zone_out && !zone_out {
            // Servers of a zone that is taken back may have become cold since their last report.
            self.suspended = Some(now);
        }
        self.zone_out = zone_out;
        if self
            .suspended
            .is_some_and(|since| server.last_heartbeat > since)
        {
            self.suspended = None;
            self.failure_streak = 0;
        }
    }

    /// Stops its use, because it no longer belongs to the service.
    pub(super) fn withdraw(&mut self) {
        self.serving = false;
    }

    /// Whether it serves according to the view, apart from short failures.
    pub(super) fn is_in_service(&self) -> bool {
        self.serving && !self.zone_out
    }

    /// Order in which this VM prefers servers; constant while this process runs.
    pub(super) fn rank(&self) -> f64 {
        match self.local {
            true => self.preference - 1.0,
            false => self.zone_penalty,
        }
    }

    /// Whether its version is new to the service and no rollout has named it.
    pub(super) fn is_held(&self, now: time::Instant) -> bool {
        !self.is_target && self.held_until.is_some_and(|until| until > now)
    }

    pub(super) fn is_usable(&self, now: time::Instant) -> bool {
        self.usable_at(now) == Some(now)
    }

    /// When it is usable: `now` at the earliest, `None` if that is not known.
    pub(super) fn usable_at(&self, now: time::Instant) -> Option<time::Instant> {
        let in_service = self.is_in_service() && self.suspended.is_none();
        in_service.then(|| self.cold_until.max(now))
    }

    /// Counts an attempt that starts.
    pub(super) fn start(&mut self) {
        self.running += 1;
        if let Some(pace) = &mut self.pace {
            pace.start();
        }
    }

    /// Records that an attempt takes longer than usual; `ratio` is its age as a
    /// multiple of the typical latency.
    pub(super) fn record_overdue(&mut self, token: ids::Ticket, ratio: f64, now: time::Instant) {
        self.overdue.push(token);
        self.reported_at = Some(now);
        if ratio > self.latency_ratio {
            self.latency_ratio = ratio;
            self.latency_at = now;
        }
    }

    pub(super) fn record_load(&mut self, load: backend::Load, now: time::Instant) {
        self.load = f64::from(load.running) + f64::from(load.queued);
        self.load_at = now;
    }

    /// Records the figures of a server that states its pace.
    pub(super) fn record_pace(
        &mut self,
        load: backend::Load,
        pace: backend::Pace,
        now: time::Instant,
    ) {
        match &mut self.pace {
            Some(stated) => stated.record(load, pace, now),
            None => self.pace = Some(fleet::stated_pace::StatedPace::new(load, pace, now)),
        }
    }

    /// Whether it has just stated that it is slow or full.
    pub(super) fn is_congested(&self, now: time::Instant) -> bool {
        let pace = self.pace.as_ref();
        pace.is_some_and(|pace| pace.is_congested(now))
    }

    /// Records that the server refused the connection of an attempt that ends by this; it says
    /// nothing about how the server handles requests.
    pub(super) fn record_full(&mut self, token: ids::Ticket, spread: f64, now: time::Instant) {
        self.running = self.running.saturating_sub(1);
        self.overdue.retain(|overdue| *overdue != token);
        self.connections.record_refused(self.running, spread, now);
    }

    /// Records the end of an attempt; `typical` is the typical latency of its route.
    ///
    /// Returns the symptom to report to the control VMs, if any.
    pub(super) fn record_end(
        &mut self,
        token: ids::Ticket,
        result: fleet::AttemptResult,
        typical: time::Duration,
        now: time::Instant,
    ) -> Option<hub::Symptom> {
        self.running = self.running.saturating_sub(1);
        self.overdue.retain(|overdue| *overdue != token);
        let ratio =
            |elapsed: time::Duration| elapsed.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        match result {
            fleet::AttemptResult::Answered { elapsed } => {
                self.answered = true;
                self.connections.record_answered(now);
                self.latency_ratio += LATENCY_WEIGHT * (ratio(elapsed) - self.latency_ratio);
                self.latency_at = now;
                self.record_failure(0.0, now);
                self.failure_streak = 0;
                if ratio(elapsed) < FAST_FACTOR {
                    return self.recovery(now);
                }
            }
            fleet::AttemptResult::Abandoned { elapsed } => {
                let ratio = ratio(elapsed);
                if ratio > self.latency_ratio {
                    self.latency_ratio = ratio;
                    self.latency_at = now;
                }
            }
            fleet::AttemptResult::Rejected | fleet::AttemptResult::Full => {
                self.record_failure(1.0, now);
            }
            fleet::AttemptResult::Failed => {
                self.record_failure(1.0, now);
                self.failure_streak += 1;
                if self.failure_streak >= FAILURE_LIMIT {
                    self.suspended = Some(now);
                }
                self.reported_at = Some(now);
                return Some(hub::Symptom::Failed);
            }
            fleet::AttemptResult::Unreachable => {
                self.record_failure(1.0, now);
                self.suspended = Some(now);
            }
        }
        None
    }

    /// Recovery symptom if a fast response follows soon after a reported symptom.
    fn recovery(&mut self, now: time::Instant) -> Option<hub::Symptom> {
        let reported_at = self.reported_at.take()?;
        (now.saturating_duration_since(reported_at) < RECOVERY_WINDOW)
            .then_some(hub::Symptom::Recovered)
    }

    fn record_failure(&mut self, sample: f64, now: time::Instant) {
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
        self.failures_at = now;
    }
}

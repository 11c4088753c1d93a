//! A known backend server.

use std::time;

use crate::registry;

/// Change of the remaining cold time that counts as news; smaller ones come
/// from delays on the way.
const COLD_JITTER: time::Duration = time::Duration::from_millis(400);

/// Latest report with what follows from its age.
pub(super) struct Known {
    pub(super) report: registry::Report,
    pub(super) heard: time::Instant,
    pub(super) cold_until: time::Instant,
    pub(super) silent: bool,
}

impl Known {
    /// Merges a report of the same incarnation.
    pub(super) fn update(&mut self, fresh: Self, now: time::Instant) -> registry::MergeOutcome {
        let phase = self.report.phase.max(fresh.report.phase);
        let advanced = phase != self.report.phase;
        if fresh.report.sequence <= self.report.sequence {
            if advanced {
                self.report.phase = phase;
                return registry::MergeOutcome::Changed;
            }
            return registry::MergeOutcome::Stale;
        }
        let moved = !same_place(&self.report, &fresh.report);
        let difference = match fresh.cold_until > self.cold_until {
            true => fresh.cold_until - self.cold_until,
            false => self.cold_until - fresh.cold_until,
        };
        let cold = self.cold_until > now || fresh.cold_until > now;
        let back = self.silent && !fresh.silent;
        *self = Self {
            report: registry::Report {
                phase,
                ..fresh.report
            },
            heard: self.heard.max(fresh.heard),
            ..fresh
        };
        if advanced || moved || back || (cold && difference > COLD_JITTER) {
            registry::MergeOutcome::Changed
        } else {
            registry::MergeOutcome::Refreshed
        }
    }

    /// State for other VMs.
    pub(super) fn record(&self, now: time::Instant) -> registry::Record {
        let report = &self.report;
        registry::Record {
            server: report.server.clone(),
            born: report.born,
            sequence: report.sequence,
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            slots: report.slots,
            phase: report.phase,
            cold_ms: millis(self.cold_until.saturating_duration_since(now)),
            age_ms: millis(now.saturating_duration_since(self.heard)),
            silent: self.silent,
        }
    }
}

/// Whether two reports say that a server is reached in the same way.
fn same_place(one: &registry::Report, other: &registry::Report) -> bool {
    one.address == other.address
        && one.service == other.service
        && one.zone == other.zone
        && one.slots == other.slots
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

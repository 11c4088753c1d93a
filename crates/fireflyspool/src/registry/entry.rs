//! Registry entry of a backend server.

use std::{net, time};

use crate::{ids, registry};

/// Greatest change of the end of the cold phase that is not published; differences up to
/// it come from message delays.
const COLD_TOLERANCE: time::Duration = time::Duration::from_millis(400);

/// Latest report of a backend server with the times derived from it.
pub(super) struct Entry {
    pub(super) report: registry::Report,
    /// Time of the latest report.
    pub(super) reported_at: time::Instant,
    pub(super) cold_until: time::Instant,
    /// Whether no report has arrived within the timeout.
    pub(super) silent: bool,
}

impl Entry {
    /// Entry of a server that leaves or left before any of its reports arrived.
    pub(super) fn departed(departure: registry::Departure, now: time::Instant) -> Self {
        Self {
            report: registry::Report {
                server: departure.server,
                born: departure.born,
                sequence: 0,
                service: ids::ServiceName::new(),
                address: net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0)),
                zone: ids::ZoneName::new(),
                version: ids::ServerVersion::new(),
                slots: 0,
                phase: departure.phase,
                cold_left: time::Duration::ZERO,
            },
            reported_at: now,
            cold_until: now,
            silent: false,
        }
    }

    /// Whether a report of the server has arrived.
    pub(super) fn has_reported(&self) -> bool {
        !self.report.service.is_empty()
    }

    /// Merges a report of the same incarnation.
    pub(super) fn update(&mut self, incoming: Self, now: time::Instant) -> registry::MergeOutcome {
        let phase = self.report.phase.max(incoming.report.phase);
        let advanced = phase != self.report.phase;
        if incoming.report.sequence <= self.report.sequence {
            if advanced {
                self.report.phase = phase;
                return registry::MergeOutcome::Changed;
            }
            return registry::MergeOutcome::Stale;
        }
        let endpoint_changed = !is_same_endpoint(&self.report, &incoming.report);
        let difference = match incoming.cold_until > self.cold_until {
            true => incoming.cold_until - self.cold_until,
            false => self.cold_until - incoming.cold_until,
        };
        let cold = self.cold_until > now || incoming.cold_until > now;
        let no_longer_silent = self.silent && !incoming.silent;
        *self = Self {
            report: registry::Report {
                phase,
                ..incoming.report
            },
            reported_at: self.reported_at.max(incoming.reported_at),
            ..incoming
        };
        if advanced || endpoint_changed || no_longer_silent || (cold && difference > COLD_TOLERANCE)
        {
            registry::MergeOutcome::Changed
        } else {
            registry::MergeOutcome::Refreshed
        }
    }

    /// Whether it accepts requests and has reported within the timeout.
    pub(super) fn is_serving(&self) -> bool {
        self.report.phase == registry::Phase::Serving && !self.silent
    }

    /// Record of the current state for other VMs.
    pub(super) fn record(&self, now: time::Instant) -> registry::Record {
        let report = &self.report;
        registry::Record {
            server: report.server.clone(),
            born: report.born,
            sequence: report.sequence,
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            version: report.version.clone(),
            slots: report.slots,
            phase: report.phase,
            cold_ms: millis(self.cold_until.saturating_duration_since(now)),
            age_ms: millis(now.saturating_duration_since(self.reported_at)),
            silent: self.silent,
        }
    }
}

/// Whether two reports agree on address, service, zone, version and slots.
fn is_same_endpoint(one: &registry::Report, other: &registry::Report) -> bool {
    one.address == other.address
        && one.service == other.service
        && one.zone == other.zone
        && one.version == other.version
        && one.slots == other.slots
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Counts of an entry VM.

use std::time;

use crate::{ids, rollout, sorted};

/// Shortest time between two reports of a service; each costs the collector a message for every
/// entry VM, and a rollback must reach all of them within seconds.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(300);

#[derive(Debug)]
struct Series {
    number: ids::Revision,
    cells: sorted::SortedMap<(String, Option<ids::ServerName>), rollout::Counts>,
    /// When the next report is due; `None` if nothing was counted since the last one.
    due: Option<time::Instant>,
    reported: Option<time::Instant>,
}

/// Counts of the responses to this VM's first attempts, by service with a rollout in progress.
#[derive(Debug)]
pub struct Tally {
    member: ids::Incarnation,
    services: sorted::SortedMap<ids::ServiceName, Series>,
}

impl Tally {
    /// Creates the counts of an entry VM's process.
    pub fn new(member: ids::Incarnation) -> Self {
        Self {
            member,
            services: sorted::SortedMap::new(),
        }
    }

    /// Counts a response; those of an earlier rollout of the service are ignored.
    pub fn add(&mut self, sample: rollout::Sample, now: time::Instant) {
        let number = sample.number;
        let make = || Series {
            number,
            cells: sorted::SortedMap::new(),
            due: None,
            reported: None,
        };
        let known = self.services.get(&sample.service);
        if known.is_some_and(|series| series.number > number) {
            return;
        }
        if known.is_some_and(|series| series.number < number) {
            self.services.remove(&sample.service);
        }
        let series = self.services.get_or_insert_with(sample.service, make);
        let key = (sample.route, sample.server);
        let counts = series
            .cells
            .get_or_insert_with(key, rollout::Counts::default);
        counts.add(sample.quality);
        let next = series.reported.map_or(now, |at| at + REPORT_INTERVAL);
        series.due.get_or_insert(next);
    }

    /// When the next report is due.
    pub fn next_due(&self) -> Option<time::Instant> {
        self.services.values().filter_map(|series| series.due).min()
    }

    /// Reports that are due.
    pub fn take_due(&mut self, now: time::Instant) -> Vec<rollout::Report> {
        let mut reports = Vec::new();
        for (service, series) in self.services.iter_mut() {
            if series.due.is_none_or(|due| due > now) {
                continue;
            }
            series.due = None;
            series.reported = Some(now);
            let cell = |((route, server), counts): (&(String, Option<_>), &_)| rollout::Cell {
                route: route.clone(),
                server: server.clone(),
                counts: *counts,
            };
            reports.push(rollout::Report {
                member: self.member,
                service: service.clone(),
                number: series.number,
                cells: series.cells.iter().map(cell).collect(),
            });
        }
        reports
    }
}

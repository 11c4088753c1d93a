//! Reports that entry VMs make about one backend server.

use std::{collections, time};

use crate::hub;

/// Shortest series of reports that lists a server; longer than the pauses of backend servers.
const MIN_DURATION: time::Duration = time::Duration::from_millis(200);

/// Length of a usual pause of a backend server, with the delays of its reports.
const PAUSE: time::Duration = time::Duration::from_millis(130);

/// Longest gap between two reports of a series. The reports of all entry VMs about a slow
/// server come every 80 ms at most; those about a healthy one seldom follow a pause closer.
const MAX_GAP: time::Duration = time::Duration::from_millis(120);

/// Least total weight of the reports of a series that lists a server.
const MIN_WEIGHT: u32 = 4;

/// Weight of a failure, where an overdue attempt weighs 1: a healthy server has
/// overdue attempts now and then, but does not fail.
const FAILURE_WEIGHT: u32 = 2;

/// Reports about one backend server without a longer gap than [`MAX_GAP`].
#[derive(Debug)]
pub(super) struct ReportSeries {
    first: time::Instant,
    /// Time of the last report.
    pub(super) last: time::Instant,
    weight: u32,
    /// Times of the reports of overdue attempts within the last [`PAUSE`].
    recent: collections::VecDeque<time::Instant>,
    /// Most of them at any time.
    densest: u32,
    /// Whether the server is listed.
    pub(super) listed: bool,
    /// Whether entry VMs sent the reports to this hub, as opposed to another one.
    pub(super) own: bool,
}

impl ReportSeries {
    /// Series without a report.
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            first: now,
            last: now,
            weight: 0,
            recent: collections::VecDeque::new(),
            densest: 0,
            listed: false,
            own: true,
        }
    }

    /// Series of a server that another hub lists.
    pub(super) fn of_other_hub(now: time::Instant) -> Self {
        Self {
            listed: true,
            own: false,
            ..Self::new(now)
        }
    }

    /// Adds a report to this hub, and returns whether it lists the server.
    pub(super) fn add(&mut self, symptom: hub::Symptom, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.last) > MAX_GAP {
            *self = Self {
                listed: self.listed,
                ..Self::new(now)
            };
        }
        self.own = true;
        self.last = now;
        if symptom == hub::Symptom::Failed {
            // No pause explains a failure.
            self.weight += FAILURE_WEIGHT;
        } else {
            self.weight += 1;
            self.recent.push_back(now);
            self.recent
                .retain(|at| now.saturating_duration_since(*at) <= PAUSE);
            let count = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
            self.densest = self.densest.max(count);
        }
        let lists = !self.listed && self.shows_slowness();
        self.listed |= lists;
        lists
    }

    /// Whether the reports are more than a pause and a few unrelated ones beside it: those
    /// of a slow server go on at the same rate.
    fn shows_slowness(&self) -> bool {
        let duration = self.last.saturating_duration_since(self.first);
        duration >= MIN_DURATION && self.weight >= MIN_WEIGHT && self.densest * 2 <= self.weight
    }
}

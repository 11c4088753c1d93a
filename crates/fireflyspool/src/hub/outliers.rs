//! Backend servers that several requests found slow or failing.
//!
//! One entry VM of a large site calls a backend server too rarely to notice in
//! time that it has become slow, but all entry VMs together do. A server is
//! listed after a series of reports that lasts longer than a short pause, which
//! a hedge already covers, and that no fast answer interrupts.

use std::{collections, time};

use crate::{hub, ids, sorted};

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

/// Time without a report after which a server is removed from the list and tried again.
const LISTING_LIFETIME: time::Duration = time::Duration::from_millis(1_300);

/// Shortest time between two changes of the list that followers and other hubs get: each
/// one answers the polls of all followers, and a disturbance lists many servers in turn.
const PUBLICATION_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Reports about one backend server without a longer gap than [`MAX_GAP`].
#[derive(Debug)]
struct ReportSeries {
    /// Times of the first and the last report.
    first: time::Instant,
    last: time::Instant,
    weight: u32,
    /// Times of the reports of overdue attempts within the last [`PAUSE`].
    recent: collections::VecDeque<time::Instant>,
    /// Most of them at any time.
    densest: u32,
    listed: bool,
    /// Whether entry VMs sent the reports to this hub, as opposed to another one.
    own: bool,
}

impl ReportSeries {
    fn new(weight: u32, now: time::Instant) -> Self {
        Self {
            first: now,
            last: now,
            weight,
            recent: collections::VecDeque::new(),
            densest: 0,
            listed: false,
            own: true,
        }
    }

    fn add(&mut self, symptom: hub::Symptom, weight: u32, now: time::Instant) {
        self.weight += weight;
        self.last = now;
        // No pause explains a failure.
        if symptom == hub::Symptom::Overdue {
            self.recent.push_back(now);
            self.recent
                .retain(|at| now.saturating_duration_since(*at) <= PAUSE);
            let count = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
            self.densest = self.densest.max(count);
        }
    }

    /// Whether the reports are more than a pause and a few unrelated ones beside it: those
    /// of a slow server go on at the same rate.
    fn shows_slowness(&self) -> bool {
        let duration = self.last.saturating_duration_since(self.first);
        duration >= MIN_DURATION && self.weight >= MIN_WEIGHT && self.densest * 2 <= self.weight
    }
}

/// Series of reports and the list of outliers that results from them.
#[derive(Debug, Default)]
pub(super) struct Outliers {
    servers: sorted::SortedMap<ids::ServerName, ReportSeries>,
    /// Listed servers as last published, ascending.
    published: Vec<ids::ServerName>,
    published_at: Option<time::Instant>,
    /// Whether the list may differ from the published one, and whether reports to this hub
    /// have added a server to it.
    changed: bool,
    own_changed: bool,
    revision: u64,
    own_revision: u64,
}

impl Outliers {
    /// Increases with each published change of the list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Increases with each publication of servers that reports to this hub have added.
    pub(super) fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Listed servers as last published, ascending.
    pub(super) fn listed(&self) -> &[ids::ServerName] {
        &self.published
    }

    /// When [`Self::publish`] has something to do; `None` if nothing has changed.
    pub(super) fn next_publication(&self, now: time::Instant) -> Option<time::Instant> {
        let due = self
            .published_at
            .map_or(now, |at| at + PUBLICATION_INTERVAL);
        (self.changed || self.own_changed).then_some(due)
    }

    /// Publishes the list if it has changed, at most once in [`PUBLICATION_INTERVAL`].
    pub(super) fn publish(&mut self, now: time::Instant) {
        if self.next_publication(now).is_none_or(|due| due > now) {
            return;
        }
        let listed = self.names(|series| series.listed);
        self.revision += u64::from(listed != self.published);
        self.own_revision += u64::from(self.own_changed);
        self.published = listed;
        self.published_at = Some(now);
        self.changed = false;
        self.own_changed = false;
    }

    /// Listed servers that entry VMs reported to this hub, ascending.
    pub(super) fn own(&self) -> Vec<ids::ServerName> {
        self.names(|series| series.listed && series.own)
    }

    /// Adds the report of an entry VM.
    pub(super) fn report(
        &mut self,
        server: ids::ServerName,
        symptom: hub::Symptom,
        now: time::Instant,
    ) {
        let weight = match symptom {
            hub::Symptom::Overdue => 1,
            hub::Symptom::Failed => FAILURE_WEIGHT,
            hub::Symptom::Recovered => {
                // A listed server gets few requests, so one fast answer is weak evidence.
                if self
                    .servers
                    .get(&server)
                    .is_some_and(|series| !series.listed)
                {
                    self.servers.remove(&server);
                }
                return;
            }
            // The registry records departures.
            hub::Symptom::Leaving { .. } => return,
        };
        let make = || ReportSeries::new(0, now);
        let series = self.servers.get_or_insert_with(server, make);
        if now.saturating_duration_since(series.last) > MAX_GAP {
            let listed = series.listed;
            *series = ReportSeries::new(0, now);
            series.listed = listed;
        }
        series.own = true;
        series.add(symptom, weight, now);
        if !series.listed && series.shows_slowness() {
            series.listed = true;
            self.changed = true;
            self.own_changed = true;
        }
    }

    /// Lists a server that another hub lists, unless reports to this one have listed it.
    pub(super) fn merge_listed(&mut self, server: ids::ServerName, now: time::Instant) {
        let known = self.servers.get(&server);
        if known.is_some_and(|series| series.own && series.listed) {
            return;
        }
        let series = ReportSeries {
            listed: true,
            own: false,
            ..ReportSeries::new(MIN_WEIGHT, now)
        };
        let former = self.servers.insert(server, series);
        self.changed |= former.is_none_or(|former| !former.listed);
    }

    /// Removes servers without a report for [`LISTING_LIFETIME`].
    pub(super) fn expire(&mut self, now: time::Instant) {
        let mut removed = false;
        self.servers.retain(|_, series| {
            let keep = now.saturating_duration_since(series.last) <= LISTING_LIFETIME;
            removed |= !keep && series.listed;
            keep
        });
        self.changed |= removed;
    }

    fn names(&self, keep: impl Fn(&ReportSeries) -> bool) -> Vec<ids::ServerName> {
        let kept = self.servers.iter().filter(|(_, series)| keep(series));
        kept.map(|(server, _)| server.clone()).collect()
    }
}

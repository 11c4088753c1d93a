//! Backend servers that several requests found slow or failing.
//!
//! One entry VM of a large site calls a backend server too rarely to notice in
//! time that it has become slow, but all entry VMs together do. A server is
//! listed after a series of reports that lasts longer than a short pause, which
//! a hedge already covers, and that no fast answer interrupts. All entry VMs report
//! a server to the same hub, which tells the others what it lists.

use std::time;

use crate::hub::report_series;
use crate::{hub, ids, sorted};

/// Time without a report after which a server is removed from the list and tried again.
const LISTING_LIFETIME: time::Duration = time::Duration::from_millis(1_300);

/// Shortest time between two changes of the list that followers and other hubs get: each
/// one answers the polls of all followers, and a disturbance lists many servers in turn.
const PUBLICATION_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Series of reports and the list of outliers that results from them.
#[derive(Debug, Default)]
pub(super) struct Outliers {
    servers: sorted::SortedMap<ids::ServerName, report_series::ReportSeries>,
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
        match symptom {
            hub::Symptom::Overdue | hub::Symptom::Failed => {
                let make = || report_series::ReportSeries::new(now);
                let series = self.servers.get_or_insert_with(server, make);
                let lists = series.add(symptom, now);
                self.changed |= lists;
                self.own_changed |= lists;
            }
            hub::Symptom::Recovered => {
                let known = self.servers.get(&server);
                // A listed server gets few requests, so one fast answer is weak evidence.
                if known.is_some_and(|series| !series.listed) {
                    self.servers.remove(&server);
                }
            }
            // The registry records departures, the ledger of contents crashes.
            hub::Symptom::Leaving { .. } | hub::Symptom::Crashed { .. } => {}
        }
    }

    /// Lists a server that another hub lists, unless reports to this one have listed it.
    pub(super) fn merge_listed(&mut self, server: ids::ServerName, now: time::Instant) {
        let known = self.servers.get(&server);
        if known.is_some_and(|series| series.own && series.listed) {
            return;
        }
        let series = report_series::ReportSeries::of_other_hub(now);
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

    fn names(&self, keep: impl Fn(&report_series::ReportSeries) -> bool) -> Vec<ids::ServerName> {
        let kept = self.servers.iter().filter(|(_, series)| keep(series));
        kept.map(|(server, _)| server.clone()).collect()
    }
}

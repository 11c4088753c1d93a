//! Sums of the searchers' counters.

use std::time;

use fireflyspool::{ids, sorted};

use crate::{load, searcher};

/// Counters of each searcher at the start and last seen.
#[derive(Clone, Debug, Default)]
pub struct Census {
    first: sorted::SortedMap<ids::ServerName, searcher::Counters>,
    last: sorted::SortedMap<ids::ServerName, searcher::Counters>,
    searchers: usize,
    unreachable: usize,
}

impl Census {
    /// Takes one reading of all searchers; nothing stands for one that did not answer.
    pub fn record(&mut self, readings: Vec<Option<searcher::Counters>>) {
        self.searchers = readings.len();
        self.unreachable = readings.iter().filter(|reading| reading.is_none()).count();
        for counters in readings.into_iter().flatten() {
            let name = counters.server.clone();
            let again = counters.clone();
            self.first.get_or_insert_with(name.clone(), || again);
            self.last.insert(name, counters);
        }
    }

    /// Results of a run that began at a time since the Unix epoch.
    pub fn report(&self, tally: &load::Tally, began: time::Duration) -> load::SearcherReport {
        let mut report = load::SearcherReport {
            searchers: self.searchers,
            unreachable: self.unreachable,
            needed: tally.needed_by_second.iter().sum(),
            busiest_needed: tally.needed_by_second.iter().copied().max().unwrap_or(0),
            busiest_second: self.busiest_second(began.as_secs()),
            ..load::SearcherReport::default()
        };
        let unknown = searcher::Counters::default();
        for (name, last) in self.last.iter() {
            let first = self.first.get(name).unwrap_or(&unknown);
            // A restarted process counts from zero again.
            let since = |last: u64, first: u64| last.checked_sub(first).unwrap_or(last);
            report.run += since(last.run, first.run);
            report.cancelled += since(last.cancelled, first.cancelled);
            report.expired += since(last.expired, first.expired);
            report.crashes += since(last.crashes, first.crashes);
            report.rejected_connections +=
                since(last.rejected_connections, first.rejected_connections);
            for (status, count) in last.refused.iter() {
                let before = first.refused.get(status).copied().unwrap_or(0);
                *report.refused.get_or_insert_with(*status, || 0) += since(*count, before);
            }
            report.most_running = report.most_running.max(last.most_running);
            report.most_queued = report.most_queued.max(last.most_queued);
            report.most_connections = report.most_connections.max(last.most_connections);
        }
        if report.needed > 0 {
            report.extra_load = report.run as f64 / report.needed as f64 - 1.0;
        }
        self.check_submissions(tally, &mut report);
        report
    }

    fn busiest_second(&self, began: u64) -> u64 {
        let mut seconds = sorted::SortedMap::<u64, u64>::new();
        for counters in self.last.values() {
            for (second, runs) in (counters.first_second..).zip(&counters.by_second) {
                if second >= began && *runs > 0 {
                    *seconds.get_or_insert_with(second, || 0) += u64::from(*runs);
                }
            }
        }
        seconds.values().copied().max().unwrap_or(0)
    }

    fn check_submissions(&self, tally: &load::Tally, report: &mut load::SearcherReport) {
        if self.last.is_empty() {
            return;
        }
        for (request, end) in &tally.submissions {
            let runs = self.last.values();
            let runs = runs.filter_map(|counters| counters.submissions.get(request));
            let runs: u32 = runs.sum();
            if runs > 1 {
                report.repeated.push(request.clone());
            }
            if runs > 0 && matches!(*end, "not_run" | "unsent") {
                report.false_refusals.push(request.clone());
            }
            // An unreachable searcher may have run it.
            if runs == 0 && self.unreachable == 0 && matches!(*end, "submitted" | "known") {
                report.false_receipts.push(request.clone());
            }
        }
    }
}

//! Comparison of two versions.
//!
//! The versions are compared on the same route and within the same interval, because a service
//! may be overloaded or have slow machines meanwhile. In each interval the rate of the old
//! version gives the expected number of bad responses of the target version. A version is bad
//! if the sum over recent intervals is far above that, also without the worst of its servers:
//! a single bad server is a fault of its machine.

use std::{collections, time};

use crate::rollout::{interval, threshold};
use crate::{ids, rollout};

/// Most intervals kept; they cover the whole duration of a rollout.
const MAX_INTERVALS: usize = 64;

/// Shortest interval; reports of one moment arrive within a fraction of it.
const MIN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Numbers of the latest intervals that are compared, besides all of them. A version that turns
/// bad late is not outweighed by its good start.
const WINDOWS: [usize; 3] = [2, 5, 15];

/// Weight of the average rate of the old version in the rate of an interval, in responses.
const PRIOR_WEIGHT: f64 = 4.0;

/// Least share of the responses of the target version that are bad beyond the expected ones.
const MIN_SHARE: f64 = 0.04;

/// The same if history is included, whose responses cannot be told apart by time. A service that
/// has trouble while the share is high looks worse there: a good version exceeded the old one by
/// 0.08 in a simulated site where both had trouble.
const MIN_HISTORY_SHARE: f64 = 0.25;

/// Counts since the start of a rollout.
#[derive(Clone, Debug)]
pub struct Evidence {
    length: time::Duration,
    intervals: collections::VecDeque<interval::Interval>,
    /// Responses from before these counts began, as one interval.
    history: Option<interval::Interval>,
    old: u64,
    target: u64,
}

impl Evidence {
    /// Creates empty counts for a rollout of this duration.
    pub fn new(duration: time::Duration) -> Self {
        let intervals = u32::try_from(MAX_INTERVALS).unwrap_or(u32::MAX);
        Self {
            length: (duration / intervals).max(MIN_INTERVAL),
            intervals: collections::VecDeque::new(),
            history: None,
            old: 0,
            target: 0,
        }
    }

    /// Adds responses that were reported now.
    pub fn add(&mut self, cell: &rollout::Cell, now: time::Instant) {
        self.add_total(cell);
        let length = self.length;
        let is_over =
            |last: &interval::Interval| now.saturating_duration_since(last.since) >= length;
        if self.intervals.back().is_none_or(is_over) {
            self.intervals.push_back(interval::Interval::new(now));
            if self.intervals.len() > MAX_INTERVALS {
                self.intervals.pop_front();
            }
        }
        if let Some(last) = self.intervals.back_mut() {
            last.add(cell);
        }
    }

    /// Adds responses that a former collector has counted at any time before `now`.
    pub fn add_history(&mut self, cell: &rollout::Cell, now: time::Instant) {
        self.add_total(cell);
        let make = || interval::Interval::new(now);
        self.history.get_or_insert_with(make).add(cell);
    }

    fn add_total(&mut self, cell: &rollout::Cell) {
        match cell.server {
            Some(_) => self.target += cell.counts.total(),
            None => self.old += cell.counts.total(),
        }
    }

    /// Responses of the old and of the target version.
    pub fn totals(&self) -> (u64, u64) {
        (self.old, self.target)
    }

    /// Why the target version is bad, if it is by this threshold.
    pub(super) fn fault(&self, threshold: threshold::Threshold) -> Option<rollout::Reason> {
        let failed = |counts: &rollout::Counts| counts.failed;
        let bad = |counts: &rollout::Counts| counts.failed + counts.slow;
        if self.is_worse(failed, threshold) {
            return Some(rollout::Reason::Failures);
        }
        self.is_worse(bad, threshold)
            .then_some(rollout::Reason::SlowResponses)
    }

    fn is_worse(
        &self,
        bad: impl Fn(&rollout::Counts) -> u64 + Copy,
        threshold: threshold::Threshold,
    ) -> bool {
        let all = self.intervals.len();
        let windows = WINDOWS.into_iter().filter(|window| *window < all);
        let mut windows = windows.chain([all]);
        let is_worse = |window: &[&interval::Interval], share| {
            let routes = routes(window);
            let mut worse = routes.iter().map(|route| (*route, share));
            worse.any(|on| is_worse_on(window, on, bad, threshold))
        };
        windows.any(|window| {
            let window: Vec<_> = self.intervals.iter().skip(all - window).collect();
            is_worse(&window, MIN_SHARE)
        }) || self.history.as_ref().is_some_and(|history| {
            let window: Vec<_> = self.intervals.iter().chain([history]).collect();
            is_worse(&window, MIN_HISTORY_SHARE)
        })
    }
}

/// Routes with responses, ascending.
fn routes<'a>(window: &[&'a interval::Interval]) -> Vec<&'a str> {
    let cells = window.iter().flat_map(|interval| interval.cells.keys());
    let mut routes: Vec<_> = cells.map(|(route, _)| route.as_str()).collect();
    routes.sort_unstable();
    routes.dedup();
    routes
}

/// Whether the target version is worse on a route by at least a share of its responses, also
/// without its worst server.
fn is_worse_on(
    window: &[&interval::Interval],
    (route, share): (&str, f64),
    bad: impl Fn(&rollout::Counts) -> u64 + Copy,
    threshold: threshold::Threshold,
) -> bool {
    let (excess, deviation, total) = excess(window, route, None, bad);
    if excess < threshold.excess
        || excess < threshold.deviations * deviation
        || excess < share * total
    {
        return false;
    }
    let servers = servers(window, route);
    if servers.len() < 2 {
        return true;
    }
    let worst = servers.into_iter().max_by_key(|server| {
        let counts = |interval: &&interval::Interval| {
            bad(&interval.sum(|name, named| name == route && named == Some(server.as_str())))
        };
        window.iter().map(counts).sum::<u64>()
    });
    let worst = worst.map(ids::ServerName::as_str);
    // The others have fewer responses, so less is asked of them.
    let (excess, deviation, total) = self::excess(window, route, worst, bad);
    excess >= threshold.excess / 4.0
        && excess >= threshold.deviations / 2.0 * deviation
        && excess >= share * total
}

/// Servers of the target version with responses on a route, ascending.
fn servers<'a>(window: &[&'a interval::Interval], route: &str) -> Vec<&'a ids::ServerName> {
    let cells = window.iter().flat_map(|interval| interval.cells.keys());
    let on_route = cells.filter(|(name, _)| name == route);
    let mut servers: Vec<_> = on_route.filter_map(|(_, server)| server.as_ref()).collect();
    servers.sort_unstable();
    servers.dedup();
    servers
}

/// Bad responses of the target version beyond the expected ones, their standard deviation, and
/// the number of responses.
fn excess(
    window: &[&interval::Interval],
    route: &str,
    except: Option<&str>,
    bad: impl Fn(&rollout::Counts) -> u64,
) -> (f64, f64, f64) {
    let mut old = rollout::Counts::default();
    for interval in window {
        old.merge(&interval.old(route));
    }
    let average = (bad(&old) as f64 + 0.5) / (old.total() as f64 + 1.0);
    let (mut excess, mut variance, mut total) = (0.0, 0.0, 0.0);
    for interval in window {
        let target = interval.target(route, except);
        let old = interval.old(route);
        let weight = old.total() as f64 + PRIOR_WEIGHT;
        let rate = (bad(&old) as f64 + PRIOR_WEIGHT * average) / weight;
        let responses = target.total() as f64;
        excess += bad(&target) as f64 - responses * rate;
        // The second term is for the uncertain rate of the old version.
        variance += rate * (1.0 - rate) * (responses + responses * responses / weight);
        total += responses;
    }
    (excess, variance.sqrt(), total)
}

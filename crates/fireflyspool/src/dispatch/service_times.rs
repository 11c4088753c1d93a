//! Service times of one service.

use std::{collections, time};

use crate::dispatch::{fleet, sample};

/// Samples kept; enough for the 99th percentile to rest on several of them.
const CAPACITY: usize = 512;

/// Age after which a sample no longer counts.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Samples below which no quantile is given.
const LEAST: usize = 20;

/// New samples after which the sorted copy is renewed; sorting at every sample is too slow.
const RENEW_AFTER: usize = 32;

/// Sliding window of service times.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    samples: collections::VecDeque<sample::Sample>,
    sorted: Vec<u32>,
    new: usize,
}

impl ServiceTimes {
    pub(super) fn record(
        &mut self,
        server: fleet::ServerKey,
        elapsed: time::Duration,
        now: time::Instant,
    ) {
        let old = |sample: &sample::Sample| now.duration_since(sample.taken) > WINDOW;
        while self.samples.len() >= CAPACITY || self.samples.front().is_some_and(old) {
            self.samples.pop_front();
        }
        self.samples.push_back(sample::Sample {
            taken: now,
            server,
            micros: u32::try_from(elapsed.as_micros()).unwrap_or(u32::MAX),
        });
        self.new += 1;
        if self.new >= RENEW_AFTER || self.sorted.len() < LEAST {
            self.new = 0;
            self.sorted.clear();
            self.sorted.extend(self.samples.iter().map(|s| s.micros));
            self.sorted.sort_unstable();
        }
    }

    /// Quantile in permille; `None` with too few or only old samples.
    pub(super) fn quantile(&self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        let latest = self.samples.back()?.taken;
        if self.sorted.len() < LEAST || now.duration_since(latest) > WINDOW {
            return None;
        }
        let last = self.sorted.len() - 1;
        let rank = usize::try_from(permille.min(1_000)).unwrap_or(0) * last / 1_000;
        Some(time::Duration::from_micros(u64::from(self.sorted[rank])))
    }

    /// Median over all backend servers but one; `None` with too few samples of them.
    pub(super) fn peer_median(&self, server: fleet::ServerKey) -> Option<time::Duration> {
        let others = self.samples.iter().filter(|s| s.server != server);
        let mut micros = others.map(|sample| sample.micros).collect::<Vec<_>>();
        if micros.len() < LEAST {
            return None;
        }
        let middle = micros.len() / 2;
        let (_, median, _) = micros.select_nth_unstable(middle);
        Some(time::Duration::from_micros(u64::from(*median)))
    }
}

//! Distribution of the service times of one service.

use std::{collections, time};

use crate::dispatch::{fleet, sample};

/// Most samples kept; five of them lie above the 99th percentile.
const MAX_SAMPLES: usize = 512;

/// Age after which samples are dropped.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Samples needed for a quantile.
const MIN_SAMPLES: usize = 20;

/// New samples after which the copy is sorted again; sorting at every sample is too slow.
const RESORT_AFTER: usize = 32;

/// Sliding window of service times.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    samples: collections::VecDeque<sample::Sample>,
    sorted: Vec<u32>,
    /// Samples since the last sort.
    unsorted: usize,
}

impl ServiceTimes {
    pub(super) fn record(
        &mut self,
        server: fleet::ServerKey,
        elapsed: time::Duration,
        now: time::Instant,
    ) {
        let old = |sample: &sample::Sample| now.duration_since(sample.taken) > WINDOW;
        while self.samples.len() >= MAX_SAMPLES || self.samples.front().is_some_and(old) {
            self.samples.pop_front();
        }
        self.samples.push_back(sample::Sample {
            taken: now,
            server,
            micros: u32::try_from(elapsed.as_micros()).unwrap_or(u32::MAX),
        });
        self.unsorted += 1;
        if self.unsorted >= RESORT_AFTER || self.sorted.len() < MIN_SAMPLES {
            self.unsorted = 0;
            self.sorted.clear();
            self.sorted.extend(self.samples.iter().map(|s| s.micros));
            self.sorted.sort_unstable();
        }
    }

    /// Quantile, given in permille; `None` if there are too few samples or all are too old.
    pub(super) fn quantile(&self, permille: u64, now: time::Instant) -> Option<time::Duration> {
        let latest = self.samples.back()?.taken;
        if self.sorted.len() < MIN_SAMPLES || now.duration_since(latest) > WINDOW {
            return None;
        }
        let last = self.sorted.len() - 1;
        let rank = usize::try_from(permille.min(1_000)).unwrap_or(0) * last / 1_000;
        Some(time::Duration::from_micros(u64::from(self.sorted[rank])))
    }

    /// Median over all backend servers but one; `None` if there are too few samples.
    pub(super) fn peer_median(&self, server: fleet::ServerKey) -> Option<time::Duration> {
        let others = self.samples.iter().filter(|s| s.server != server);
        let mut micros = others.map(|sample| sample.micros).collect::<Vec<_>>();
        if micros.len() < MIN_SAMPLES {
            return None;
        }
        let middle = micros.len() / 2;
        let (_, median, _) = micros.select_nth_unstable(middle);
        Some(time::Duration::from_micros(u64::from(*median)))
    }
}

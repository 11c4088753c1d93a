//! Task that owns the tally.

use std::{sync, time};

use tokio::sync::{Semaphore, mpsc};

use crate::load;

/// Interval of progress lines.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Counts samples and prints progress.
#[derive(Debug)]
pub struct Collector {
    /// Totals.
    pub tally: load::Tally,
    /// Samples.
    pub samples: mpsc::Receiver<load::Sample>,
    /// Permits of requests in progress.
    pub permits: sync::Arc<Semaphore>,
    /// Number of all permits.
    pub in_flight: usize,
    /// Start of the run.
    pub start: time::Instant,
}

impl Collector {
    /// Counts until nobody can send samples any more.
    pub async fn run(mut self) -> load::Tally {
        let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
        progress.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                sample = self.samples.recv() => match sample {
                    Some(sample) => self.tally.record(&sample),
                    None => return self.tally,
                },
                _ = progress.tick() => self.print(),
            }
        }
    }

    fn print(&self) {
        let mut line = format!("t={}s", self.start.elapsed().as_secs());
        let in_flight = self.in_flight - self.permits.available_permits();
        line += &format!(" ended={} in_flight={in_flight}", self.tally.intended());
        let kinds = self.tally.kinds();
        let sum = |count: &dyn Fn(&load::KindReport) -> u64| kinds.iter().map(count).sum::<u64>();
        line += &format!(" in_time={}", sum(&|kind| kind.in_time));
        line += &format!(" late={}", sum(&|kind| kind.late));
        for end in ["not_run", "insufficient", "failed", "unknown", "unsent"] {
            let count = sum(&|kind| kind.ends.get(end).copied().unwrap_or(0));
            if count > 0 {
                line += &format!(" {end}={count}");
            }
        }
        line += &format!(" wrong={}", self.tally.wrong);
        for kind in kinds.iter().filter(|kind| kind.all.count > 0) {
            line += &format!(" {}_p99={:.1}ms", kind.kind.name(), kind.all.p99_ms);
        }
        eprintln!("{line}");
    }
}

//! Running totals of one kind.

use std::time;

use fireflyspool::{outcome, sorted};
use hdrhistogram::Histogram;

use crate::load;

/// Counts and histograms of one kind.
#[derive(Clone, Debug)]
pub struct KindTally {
    intended: u64,
    in_time: u64,
    late: u64,
    ends: sorted::SortedMap<String, u64>,
    covered: f64,
    answered: Histogram<u64>,
    all: Histogram<u64>,
    changing: Histogram<u64>,
}

impl KindTally {
    /// Empty totals.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            intended: 0,
            in_time: 0,
            late: 0,
            ends: sorted::SortedMap::new(),
            covered: 0.0,
            answered: histogram()?,
            all: histogram()?,
            changing: histogram()?,
        })
    }

    /// Adds one request.
    pub fn record(&mut self, sample: &load::Sample, tolerance: time::Duration, changing: bool) {
        let deadline = sample.request.template.deadline;
        let answer = sample.ending.is_answer();
        let responded = matches!(sample.ending, load::Ending::Response(_));
        let late = responded && sample.latency > deadline + tolerance;
        self.intended += 1;
        self.late += u64::from(late);
        self.in_time += u64::from(answer && !late);
        let name = sample.ending.name().to_owned();
        *self.ends.get_or_insert_with(name, || 0) += 1;
        if !late {
            self.covered += sample.ending.covered_share();
        }
        if answer {
            self.answered.saturating_record(micros(sample.latency));
        }
        // A fast refusal is no fast answer.
        let counted = if answer {
            sample.latency
        } else {
            sample.latency.max(deadline)
        };
        self.all.saturating_record(micros(counted));
        if changing {
            self.changing.saturating_record(micros(counted));
        }
    }

    /// Requests so far.
    pub fn intended(&self) -> u64 {
        self.intended
    }

    /// Results.
    pub fn report(&self, kind: outcome::Kind) -> load::KindReport {
        load::KindReport {
            kind,
            intended: self.intended,
            in_time: self.in_time,
            late: self.late,
            ends: self.ends.clone(),
            covered_share: self.covered / (self.intended.max(1)) as f64,
            answered: load::Latency::of(&self.answered),
            all: load::Latency::of(&self.all),
            changing: load::Latency::of(&self.changing),
        }
    }
}

fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    // Saturating records do not resize, so the bound must exceed every deadline with its patience.
    Histogram::new_with_bounds(1, 600_000_000, 3)
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

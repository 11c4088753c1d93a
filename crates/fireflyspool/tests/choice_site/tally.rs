//! What callers got, and what it cost.

use std::fmt;

use fireflyspool::forward;

#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Queries by kind, and their value: the square of the covered fraction, a tenth if late.
    pub(crate) queries: [usize; 2],
    pub(crate) value: [f64; 2],
    pub(crate) sends: usize,
    /// Attempts at servers of other zones.
    pub(crate) crossings: usize,
    pub(crate) opens: usize,
    /// Connections that servers refused.
    pub(crate) resets: usize,
    /// Most connections that a server had.
    pub(crate) peak: usize,
    pub(crate) withheld: usize,
}

impl Tally {
    pub(crate) fn add(
        &mut self,
        kind: usize,
        outcome: &forward::Outcome,
        on_time: bool,
        shards: usize,
    ) {
        self.queries[kind] += 1;
        if let forward::Outcome::Gathered { missing, .. } = outcome {
            let covered = (shards - missing) as f64 / shards as f64;
            self.value[kind] += covered * covered * if on_time { 1.0 } else { 0.1 };
        }
    }

    /// Mean value of the queries of a kind.
    pub(crate) fn mean(&self, kind: usize) -> f64 {
        self.value[kind] / self.queries[kind].max(1) as f64
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "value {:.3} {:.3}, sends {}, crossings {}, opens {}, resets {}, peak {}, withheld {}",
            self.mean(0),
            self.mean(1),
            self.sends,
            self.crossings,
            self.opens,
            self.resets,
            self.peak,
            self.withheld
        )
    }
}

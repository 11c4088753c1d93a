//! Running totals of a run.

use std::time;

use fireflyspool::{ids, outcome, sorted};

use crate::load;

/// Faults whose text is kept; the count goes on.
const KEPT_FAULTS: usize = 20;

/// Everything counted about the requests of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    kinds: Vec<(outcome::Kind, load::KindTally)>,
    verifier: load::Verifier,
    tolerance: time::Duration,
    windows: Vec<(time::Duration, time::Duration)>,
    pub(super) refusals: sorted::SortedMap<String, u64>,
    pub(super) failures: sorted::SortedMap<String, u64>,
    pub(super) unsent: sorted::SortedMap<String, u64>,
    pub(super) wrong: u64,
    pub(super) faults: Vec<String>,
    pub(super) verified: u64,
    pub(super) resends: u64,
    pub(super) needed_by_second: Vec<u64>,
    pub(super) submissions: Vec<(ids::RequestId, &'static str)>,
}

impl Tally {
    /// Empty totals; `windows` are the times after commands.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
    pub fn new(
        verifier: load::Verifier,
        tolerance: time::Duration,
        windows: Vec<(time::Duration, time::Duration)>,
    ) -> Result<Self, hdrhistogram::CreationError> {
        let kinds = outcome::Kind::ALL.into_iter();
        let kinds = kinds.map(|kind| Ok((kind, load::KindTally::new()?)));
        Ok(Self {
            kinds: kinds.collect::<Result<_, hdrhistogram::CreationError>>()?,
            verifier,
            tolerance,
            windows,
            refusals: sorted::SortedMap::new(),
            failures: sorted::SortedMap::new(),
            unsent: sorted::SortedMap::new(),
            wrong: 0,
            faults: Vec::new(),
            verified: 0,
            resends: 0,
            needed_by_second: Vec::new(),
            submissions: Vec::new(),
        })
    }

    /// Verifies and counts one request.
    pub fn record(&mut self, sample: &load::Sample) {
        let request = &sample.request;
        let changing = self.windows.iter();
        let changing = changing
            .clone()
            .any(|window| (window.0..window.1).contains(&request.intended));
        self.kinds[request.template.kind.index()]
            .1
            .record(sample, self.tolerance, changing);
        self.resends += u64::from(sample.resends);
        match &sample.ending {
            load::Ending::Response(response) => {
                if let outcome::Outcome::NotRun(refusal) = response {
                    count(&mut self.refusals, refusal.reason.name());
                }
                self.verify(request, response);
            }
            load::Ending::Failed(cause) => count(&mut self.failures, cause),
            load::Ending::Unsent(cause) => count(&mut self.unsent, cause),
        }
        self.count_needed(request.intended, self.needed(sample));
        if request.template.collection.is_none() {
            let end = (request.id.clone(), sample.ending.name());
            self.submissions.push(end);
        }
    }

    /// Results by kind.
    pub fn kinds(&self) -> Vec<load::KindReport> {
        let kinds = self.kinds.iter();
        kinds.map(|(kind, tally)| tally.report(*kind)).collect()
    }

    /// Requests so far.
    pub fn intended(&self) -> u64 {
        self.kinds.iter().map(|entry| entry.1.intended()).sum()
    }

    fn verify(&mut self, request: &load::Request, response: &outcome::Outcome) {
        self.verified += 1;
        let faults = self.verifier.check(request, response);
        if faults.is_empty() {
            return;
        }
        self.wrong += 1;
        for fault in faults {
            if self.faults.len() < KEPT_FAULTS {
                self.faults.push(format!("{}: {fault}", request.id));
            }
        }
    }

    /// Runs at searchers that the request required.
    fn needed(&self, sample: &load::Sample) -> u64 {
        let collection = sample.request.template.collection.as_deref();
        let shards = collection.map_or(1, |name| self.verifier.shards(name));
        match &sample.ending {
            load::Ending::Response(
                outcome::Outcome::Complete(answer) | outcome::Outcome::Partial(answer),
            ) => answer.coverage.total() as u64,
            load::Ending::Response(
                outcome::Outcome::NotRun(_) | outcome::Outcome::Known { .. },
            )
            | load::Ending::Unsent(_) => 0,
            load::Ending::Response(_) | load::Ending::Failed(_) => u64::from(shards),
        }
    }

    fn count_needed(&mut self, intended: time::Duration, needed: u64) {
        let second = usize::try_from(intended.as_secs()).unwrap_or(0);
        if self.needed_by_second.len() <= second {
            self.needed_by_second.resize(second + 1, 0);
        }
        self.needed_by_second[second] += needed;
    }
}

fn count(counts: &mut sorted::SortedMap<String, u64>, name: &str) {
    *counts.get_or_insert_with(name.to_owned(), || 0) += 1;
}

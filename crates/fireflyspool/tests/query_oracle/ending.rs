//! Checks of the outcome of a query.

use std::time;

use super::{Oracle, SentSub, SubState};
use fireflyspool::outcome;

impl Oracle {
    pub(super) fn answers(&self) -> impl Iterator<Item = &SentSub> {
        let current = self.sent.iter().filter(|sent| sent.version == self.version);
        current.filter(|sent| matches!(sent.state, SubState::Answered(_)))
    }

    pub(super) fn finish(&mut self, outcome: &outcome::Outcome, now: time::Instant) {
        let ran = self.sent.iter().any(|sent| sent.state != SubState::NotRun);
        match outcome {
            outcome::Outcome::Complete(answer) => {
                assert!(answer.coverage.missing.is_empty() && answer.sufficient);
                self.check_answer(answer, now);
            }
            outcome::Outcome::Partial(answer) => {
                assert!(
                    !answer.coverage.missing.is_empty(),
                    "complete, but reported as partial"
                );
                assert!(ran, "nothing ran, but reported as partial");
                self.check_answer(answer, now);
            }
            outcome::Outcome::NotRun(refusal) => {
                assert!(!ran, "ran, but reported as not run: {:?}", self.sent);
                assert_eq!(refusal.request, self.search.request);
                assert_eq!(refusal.deadline, self.search.deadline);
            }
            other => panic!("not an outcome of a search: {other:?}"),
        }
        self.outcome = Some(outcome.clone());
    }

    fn check_answer(&self, answer: &outcome::Answer, now: time::Instant) {
        assert_eq!(answer.request, self.search.request);
        assert_eq!(answer.deadline, self.search.deadline);
        assert_eq!(answer.elapsed, now - self.received);
        assert_eq!(
            answer.snapshot.version, self.version,
            "answer of another version"
        );
        let mut covered: Vec<_> = self.answers().map(|sent| sent.shard).collect();
        covered.sort_unstable();
        assert_eq!(answer.coverage.covered, covered, "wrong covered shards");
        let total = self
            .shards
            .iter()
            .find(|entry| entry.0 == self.version)
            .expect("exists")
            .1;
        let missing: Vec<_> = (0..total)
            .filter(|shard| !covered.contains(shard))
            .collect();
        assert_eq!(answer.coverage.missing, missing, "wrong missing shards");
        let share = covered.len() * 100 / total as usize;
        let sufficient = !covered.is_empty()
            && match self.search.coverage {
                outcome::RequiredCoverage::Full => missing.is_empty(),
                outcome::RequiredCoverage::AtLeast(percent) => share >= usize::from(percent),
                outcome::RequiredCoverage::Any => true,
            };
        assert_eq!(answer.sufficient, sufficient);
        let mut hits: Vec<_> = self
            .answers()
            .flat_map(|sent| match &sent.state {
                SubState::Answered(hits) => hits.clone(),
                _ => Vec::new(),
            })
            .collect();
        hits.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.id.cmp(&b.id)));
        hits.truncate(self.search.limit as usize);
        assert_eq!(answer.hits, hits, "wrong hits");
    }
}

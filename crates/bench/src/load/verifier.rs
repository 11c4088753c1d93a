//! Check of answers against the hits that searchers return.

use fireflyspool::{ids, outcome};

use crate::{hits, load};

/// Knows the index versions that may appear.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verifier {
    versions: Vec<(outcome::Snapshot, u32)>,
}

impl Verifier {
    /// A verifier for these index versions with their shard counts.
    pub fn new(versions: Vec<(outcome::Snapshot, u32)>) -> Self {
        Self { versions }
    }

    /// Faults of a response to a request.
    pub fn check(&self, request: &load::Request, outcome: &outcome::Outcome) -> Vec<load::Fault> {
        let mut faults = Vec::new();
        let searches = request.template.collection.is_some();
        let (id, is_search) = match outcome {
            outcome::Outcome::Complete(answer) | outcome::Outcome::Partial(answer) => {
                if searches {
                    let complete = matches!(outcome, outcome::Outcome::Complete(_));
                    self.check_answer(request, answer, complete, &mut faults);
                }
                (&answer.request, true)
            }
            outcome::Outcome::Submitted {
                request: id,
                receipt,
            }
            | outcome::Outcome::Known {
                request: id,
                receipt,
            } => {
                if receipt.rsplit_once('@').map(|parts| parts.0) != Some(request.id.as_str()) {
                    faults.push(load::Fault::ForeignReceipt(receipt.clone()));
                }
                (id, false)
            }
            outcome::Outcome::NotRun(refusal) => (&refusal.request, searches),
            outcome::Outcome::Unknown { request: id, .. } => (id, searches),
        };
        if is_search != searches {
            faults.push(load::Fault::WrongForm(outcome.name()));
        }
        if *id != request.id {
            faults.push(load::Fault::ForeignAnswer(id.clone()));
        }
        faults
    }

    /// Shards of the greatest known version of a collection.
    pub fn shards(&self, collection: &str) -> u32 {
        let versions = self.versions.iter();
        let of_collection = versions.filter(|entry| entry.0.collection == collection);
        of_collection
            .max_by_key(|entry| entry.0.version)
            .map_or(0, |entry| entry.1)
    }

    fn check_answer(
        &self,
        request: &load::Request,
        answer: &outcome::Answer,
        complete: bool,
        faults: &mut Vec<load::Fault>,
    ) {
        let template = &request.template;
        let snapshot = &answer.snapshot;
        let known = self.versions.iter().find(|entry| entry.0 == *snapshot);
        let wanted = template
            .version
            .is_none_or(|version| version == snapshot.version);
        let same = template.collection.as_ref() == Some(&snapshot.collection);
        match known {
            Some((_, shards)) if wanted && same => {
                check_coverage(answer, *shards, complete, faults);
            }
            _ => faults.push(load::Fault::WrongSnapshot(snapshot.clone())),
        }
        if answer.sufficient != template.coverage.is_met_by(&answer.coverage) {
            let text = format!("sufficient is {}", answer.sufficient);
            faults.push(load::Fault::FalseCoverage(text));
        }
        check_hits(request, answer, faults);
    }
}

fn check_coverage(
    answer: &outcome::Answer,
    shards: ids::ShardNumber,
    complete: bool,
    faults: &mut Vec<load::Fault>,
) {
    let coverage = &answer.coverage;
    let mut all = [coverage.covered.as_slice(), &coverage.missing].concat();
    all.sort_unstable();
    if !all.iter().copied().eq(0..shards) {
        let text = format!("{all:?} is not the shard map 0..{shards}");
        faults.push(load::Fault::FalseCoverage(text));
    }
    if complete != coverage.missing.is_empty() {
        let text = format!("complete is {complete}, missing are {:?}", coverage.missing);
        faults.push(load::Fault::FalseCoverage(text));
    }
}

fn check_hits(request: &load::Request, answer: &outcome::Answer, faults: &mut Vec<load::Fault>) {
    let template = &request.template;
    let version = answer.snapshot.version;
    let covered = &answer.coverage.covered;
    let all = hits::merged(&answer.snapshot, covered, &request.text, usize::MAX);
    let prefix = format!("{}-v{version}-", answer.snapshot.collection);
    for hit in &answer.hits {
        let known = |expected: &outcome::Hit| {
            expected.id == hit.id && (expected.score - hit.score).abs() < 1e-9
        };
        if !hit.id.starts_with(&prefix) {
            let hit = hit.id.clone();
            faults.push(load::Fault::MixedVersions { hit, version });
        } else if !all.iter().any(known) {
            faults.push(load::Fault::ForeignHit(hit.id.clone()));
        }
    }
    // Equal scores may come in either order, so only the scores of the best hits are compared.
    let best = &all[..all.len().min(template.limit)];
    let found = answer.hits.len();
    for (position, expected) in best.iter().enumerate() {
        let hit = answer.hits.get(position);
        if hit.is_none_or(|hit| (hit.score - expected.score).abs() >= 1e-9) {
            let present = answer.hits.iter().any(|hit| hit.id == expected.id);
            faults.push(if present {
                load::Fault::Disorder
            } else {
                load::Fault::AbsentHit(expected.id.clone())
            });
            return;
        }
    }
    let mut names: Vec<_> = answer.hits.iter().map(|hit| &hit.id).collect();
    names.sort_unstable();
    names.dedup();
    if found > best.len() || names.len() < found {
        faults.push(load::Fault::Disorder);
    }
}

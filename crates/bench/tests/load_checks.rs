//! Verification, scores and sums without network.

mod support;

use std::time;

use fireflyspool::outcome;
use fireflyspool_bench::{hits, load, searcher};

const COLLECTION: &str = "dossiers";

fn request(collection: Option<&str>, limit: usize) -> load::Request {
    let template = load::Template {
        name: "check".to_owned(),
        weight: 1.0,
        service: "intake-desk".to_owned(),
        collection: collection.map(str::to_owned),
        kind: outcome::Kind::Urgent,
        deadline: time::Duration::from_millis(500),
        coverage: outcome::RequiredCoverage::AtLeast(50),
        version: None,
        limit,
        texts: 1,
        prefix: String::new(),
    };
    let zero = time::Duration::ZERO;
    load::Request::new(&template, 7, 0, zero, zero)
}

fn snapshot(version: u64) -> outcome::Snapshot {
    outcome::Snapshot {
        collection: COLLECTION.to_owned(),
        version,
    }
}

fn verifier() -> load::Verifier {
    load::Verifier::new(vec![(snapshot(1), 5), (snapshot(2), 5)])
}

fn answer(request: &load::Request, covered: &[u32]) -> outcome::Answer {
    let missing: Vec<_> = (0..5).filter(|shard| !covered.contains(shard)).collect();
    let coverage = outcome::Coverage {
        covered: covered.to_vec(),
        missing,
    };
    outcome::Answer {
        request: request.id.clone(),
        snapshot: snapshot(1),
        sufficient: coverage.percent() >= 50,
        coverage,
        deadline: time::Duration::from_millis(500),
        elapsed: time::Duration::ZERO,
        hits: hits::merged(&snapshot(1), covered, &request.text, request.template.limit),
    }
}

quickcheck::quickcheck! {
    /// Guards against a verifier that rejects right answers or accepts altered ones.
    fn right_answers_pass_and_altered_ones_fail(shards: Vec<u8>, limit: u8, which: u8) -> bool {
        let mut covered: Vec<u32> = shards.iter().map(|shard| u32::from(shard % 5)).collect();
        covered.sort_unstable();
        covered.dedup();
        let request = request(Some(COLLECTION), usize::from(limit % 12) + 1);
        let right = answer(&request, &covered);
        let wrap = |answer: outcome::Answer| if covered.len() == 5 {
            outcome::Outcome::Complete(answer)
        } else {
            outcome::Outcome::Partial(answer)
        };
        let check = |answer| verifier().check(&request, &wrap(answer));
        if !check(right.clone()).is_empty() {
            return false;
        }
        let mut wrong = right.clone();
        let case = which % 7;
        match case {
            0 => wrong.snapshot.version = 2,
            1 => wrong.request = "1-other".to_owned(),
            2 => wrong.sufficient = !wrong.sufficient,
            3 => wrong.coverage.missing.push(9),
            4 => wrong.snapshot.version = 3,
            5 if !covered.is_empty() => {
                wrong.hits.pop();
            }
            6 if !covered.is_empty() => {
                wrong.hits.insert(0, wrong.hits[0].clone());
            }
            _ => wrong.hits.push(hits::of_shard(&snapshot(2), 0, &request.text).remove(0)),
        }
        // With no hits, a change of the version leaves a right answer of that version.
        wrong == right || (case, covered.len()) == (0, 0) || !check(wrong).is_empty()
    }
}

/// Guards against a complete outcome with missing shards, and against swapped forms and receipts.
#[test]
fn false_claims_are_faults() {
    let search = request(Some(COLLECTION), 10);
    let partial = answer(&search, &[0, 1, 2]);
    let complete = outcome::Outcome::Complete(partial.clone());
    let faults = verifier().check(&search, &complete);
    assert!(
        matches!(faults[..], [load::Fault::FalseCoverage(_)]),
        "{faults:?}"
    );
    let mut mixed = answer(&search, &[0, 1, 2, 3, 4]);
    mixed.hits[0] = hits::of_shard(&snapshot(2), 0, &search.text).remove(0);
    let faults = verifier().check(&search, &outcome::Outcome::Complete(mixed));
    assert!(
        matches!(faults[0], load::Fault::MixedVersions { .. }),
        "{faults:?}"
    );
    // Only the check of identifiers notices a foreign hit with a right score.
    let mut foreign = answer(&search, &[0, 1, 2, 3, 4]);
    foreign.hits[0].id.push('0');
    let faults = verifier().check(&search, &outcome::Outcome::Complete(foreign));
    assert!(
        matches!(faults[..], [load::Fault::ForeignHit(_)]),
        "{faults:?}"
    );
    let submission = request(None, 10);
    let swapped = verifier().check(&submission, &outcome::Outcome::Partial(partial));
    assert!(swapped.contains(&load::Fault::WrongForm("partial")));
    let receipt = |receipt: &str| outcome::Outcome::Submitted {
        request: submission.id.clone(),
        receipt: receipt.to_owned(),
    };
    let right = receipt(&format!("{}@s1", submission.id));
    assert_eq!(verifier().check(&submission, &right), []);
    let foreign = verifier().check(&submission, &receipt("1-other@s1"));
    assert!(matches!(foreign[..], [load::Fault::ForeignReceipt(_)]));
}

fn tally(samples: &[load::Sample]) -> load::Tally {
    let tolerance = time::Duration::from_millis(20);
    let windows = vec![(time::Duration::ZERO, time::Duration::from_secs(1))];
    let mut tally = load::Tally::new(verifier(), tolerance, windows).expect("tally");
    for sample in samples {
        tally.record(sample);
    }
    tally
}

fn sample(ending: load::Ending, collection: Option<&str>, latency_ms: u64) -> load::Sample {
    load::Sample {
        request: request(collection, 10),
        latency: time::Duration::from_millis(latency_ms),
        ending,
        resends: 0,
    }
}

fn answered(covered: &[u32], latency_ms: u64) -> load::Sample {
    let answer = answer(&request(Some(COLLECTION), 10), covered);
    let outcome = if covered.len() == 5 {
        outcome::Outcome::Complete(answer)
    } else {
        outcome::Outcome::Partial(answer)
    };
    sample(
        load::Ending::Response(outcome),
        Some(COLLECTION),
        latency_ms,
    )
}

/// Guards against fast refusals that improve the tail, and late answers that count as in time.
#[test]
fn refusals_and_late_answers_cost() {
    let unsent = || sample(load::Ending::Unsent("x".to_owned()), Some(COLLECTION), 1);
    let all = [
        answered(&[0, 1, 2, 3, 4], 30),
        answered(&[0, 1, 2, 3, 4], 530),
        unsent(),
    ];
    let kinds = tally(&all).kinds();
    let urgent = &kinds[0];
    assert_eq!((urgent.intended, urgent.in_time, urgent.late), (3, 1, 1));
    assert_eq!(urgent.answered.count, 2);
    assert!(urgent.all.p50_ms >= 499.0, "{urgent:?}");
    assert!((urgent.covered_share - 1.0 / 3.0).abs() < 1e-9);
    assert_eq!(urgent.changing.count, 3);
}

fn score(user: &str, samples: &[load::Sample], wrong: u64) -> f64 {
    let path = "../../settings/load-franchise.yaml";
    let settings = load::Settings::read(path.as_ref()).expect("settings");
    let mut scoring = settings
        .scores
        .iter()
        .filter(|scoring| scoring.user == user);
    let scoring = scoring.next().expect("scoring");
    load::Score::of(scoring, &tally(samples).kinds(), wrong).total
}

/// Guards against scores that do not tell the two users apart.
#[test]
fn users_weigh_coverage_and_tail_differently() {
    let good = vec![answered(&[0, 1, 2, 3, 4], 30); 20];
    let thin = vec![answered(&[0, 1, 2], 30); 20];
    let slow = vec![answered(&[0, 1, 2, 3, 4], 450); 20];
    for user in ["franchise", "hollinsworth"] {
        assert!((score(user, &good, 0) - 100.0).abs() < 1e-6);
        assert!(score(user, &good, 1) <= 95.0);
    }
    let loss = |user, samples| 100.0 - score(user, samples, 0);
    assert!(loss("franchise", &thin) > 2.0 * loss("hollinsworth", &thin));
    assert!(loss("hollinsworth", &slow) > 2.0 * loss("franchise", &slow));
}

/// Guards against submissions that ran twice or ran although they were refused.
#[test]
fn counters_expose_false_claims_about_submissions() {
    let refusal = outcome::Outcome::NotRun(outcome::Refusal {
        request: request(None, 10).id,
        reason: outcome::RefusalReason::Overloaded,
        detail: String::new(),
        snapshot: None,
        deadline: time::Duration::ZERO,
        retry_after: None,
        addresses: Vec::new(),
    });
    let tally = tally(&[sample(load::Ending::Response(refusal), None, 5)]);
    let began = time::Duration::from_secs(10);
    let mut counters = searcher::Counters::new("s1".to_owned(), began);
    let mut census = load::Census::default();
    census.record(vec![Some(counters.clone())]);
    for _ in 0..2 {
        counters.count_run(began);
        counters.count_submission(&request(None, 10).id);
    }
    census.record(vec![Some(counters), None]);
    let report = census.report(&tally, began);
    assert_eq!(
        (report.run, report.busiest_second, report.unreachable),
        (2, 2, 1)
    );
    assert_eq!((report.repeated.len(), report.false_refusals.len()), (1, 1));
}

/// Guards against sample settings that cannot be read, and replicas of a shard in one zone.
#[test]
fn sample_settings_describe_whole_sites() {
    for (name, searchers) in [("franchise", 85), ("hollinsworth", 94)] {
        let path = format!("../../settings/load-{name}.yaml");
        let mut settings = load::Settings::read(path.as_ref()).expect("settings");
        settings.site.scale = 1.0;
        let profiles = settings.site.profiles(&[]);
        assert_eq!(profiles.len(), searchers);
        for (snapshot, shards) in settings.all_versions() {
            for shard in 0..shards {
                let hosts = profiles.iter().filter(|profile| {
                    let hosted = &profile.hosted[0];
                    hosted.collection == snapshot.collection && hosted.shard == shard
                });
                let mut zones: Vec<_> = hosts.map(|profile| &profile.zone).collect();
                let replicas = zones.len();
                zones.sort_unstable();
                zones.dedup();
                assert!(
                    replicas >= 2 && zones.len() >= replicas.min(3),
                    "{snapshot:?} {shard}"
                );
            }
        }
        for template in &settings.requests {
            let collection = template.collection.as_ref();
            let verifier = load::Verifier::new(settings.all_versions());
            assert!(collection.is_none_or(|collection| verifier.shards(collection) > 0));
        }
    }
    load::Step::read("../../settings/scenario-zone.yaml".as_ref()).expect("scenario");
}

/// Guards against arrivals that drift from the requested rate or depend on the caller.
#[test]
fn arrivals_keep_the_rate() {
    let mut arrivals = load::Arrivals::default();
    let mut entropy = 1_u64;
    for _ in 0..20_000 {
        entropy = entropy
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        arrivals.advance(1_000.0, entropy);
    }
    let seconds = arrivals.at().as_secs_f64();
    assert!((19.0..21.0).contains(&seconds), "{seconds}");
}

//! Score of a run.

use fireflyspool::outcome;

use crate::load;

/// Points of a run in the eyes of one user, from 0 to 100.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Score {
    /// User.
    pub user: String,
    /// Points.
    pub total: f64,
    /// Share of requests answered in time, weighted by kind.
    pub answered: f64,
    /// Covered share of shards, weighted by kind; refused and late requests cover nothing.
    pub coverage: f64,
    /// Tail latency against its target, weighted by kind.
    pub tail: f64,
    /// The same for requests after commands.
    pub change_tail: f64,
}

impl Score {
    /// Judges a run by its counts per kind and its number of wrong answers.
    pub fn of(scoring: &load::Scoring, kinds: &[load::KindReport], wrong: u64) -> Self {
        let mean = |value: &dyn Fn(&load::KindReport) -> f64| {
            let weight = |report: &load::KindReport| scoring.kinds.of(report.kind);
            let present = kinds.iter().filter(|report| report.intended > 0);
            let (sum, weights) = present.fold((0.0, 0.0), |(sum, weights), report| {
                let weight = weight(report);
                (sum + weight * value(report), weights + weight)
            });
            if weights > 0.0 { sum / weights } else { 0.0 }
        };
        let target = |kind: outcome::Kind| scoring.targets_ms.of(kind);
        let reach = |report: &load::KindReport, latency: &load::Latency| {
            target(report.kind) / latency.p99_ms.max(target(report.kind))
        };
        let answered = mean(&|report| report.in_time as f64 / report.intended as f64);
        let coverage = mean(&|report| report.covered_share);
        let tail = mean(&|report| reach(report, &report.all));
        let change_tail = mean(&|report| {
            let changed = report.changing.count > 0;
            reach(
                report,
                if changed {
                    &report.changing
                } else {
                    &report.all
                },
            )
        });
        let parts = [
            (scoring.answered, answered),
            (scoring.coverage, coverage),
            (scoring.tail, tail),
            (scoring.change_tail, change_tail),
        ];
        let weights: f64 = parts.iter().map(|part| part.0).sum();
        let sum: f64 = parts.iter().map(|part| part.0 * part.1).sum();
        let points = 100.0 * sum / weights.max(f64::MIN_POSITIVE);
        Self {
            user: scoring.user.clone(),
            total: (points - scoring.wrong * wrong as f64).max(0.0),
            answered,
            coverage,
            tail,
            change_tail,
        }
    }
}

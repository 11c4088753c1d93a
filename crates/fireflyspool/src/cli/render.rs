//! Human-readable text for outcomes.

use std::fmt::Write;

use crate::{cli, control, outcome, state, traffic};

/// Limits the hits in the text output; `--json` prints all.
const MAX_HITS: usize = 10;

/// Returns the text and exit code for a query's outcome.
pub(super) fn outcome(outcome: &outcome::Outcome) -> (String, cli::ExitCode) {
    match outcome {
        outcome::Outcome::Complete(found) => (answer("complete", found), cli::ExitCode::Success),
        outcome::Outcome::Partial(found) => (answer("partial", found), cli::ExitCode::Partial),
        outcome::Outcome::NotRun(refusal) => (self::refusal(refusal), cli::ExitCode::NotRun),
        outcome::Outcome::Submitted { request, receipt } => (
            format!("submitted {request}: {receipt}\n"),
            cli::ExitCode::Success,
        ),
        outcome::Outcome::Known { request, receipt } => {
            let text = format!("known {request}: ran before, {receipt}\n");
            (text, cli::ExitCode::Success)
        }
        outcome::Outcome::Unknown { request, detail } => (
            format!("unknown {request}: {detail}\n"),
            cli::ExitCode::Unknown,
        ),
    }
}

/// Returns the text and exit code for a command's outcome.
pub(super) fn command(outcome: &traffic::CommandOutcome) -> (String, cli::ExitCode) {
    match outcome {
        traffic::CommandOutcome::Decided { receipt, in_force } => self::receipt(receipt, *in_force),
        traffic::CommandOutcome::Shown { table } => (self::table(table), cli::ExitCode::Success),
        traffic::CommandOutcome::Invalid { detail } => {
            (format!("not valid: {detail}\n"), cli::ExitCode::Usage)
        }
        traffic::CommandOutcome::NotRun { detail } => {
            (format!("not run: {detail}\n"), cli::ExitCode::NotRun)
        }
        traffic::CommandOutcome::Unknown { detail } => {
            (format!("unknown: {detail}\n"), cli::ExitCode::Unknown)
        }
    }
}

fn receipt(receipt: &state::Receipt, in_force: bool) -> (String, cli::ExitCode) {
    match receipt {
        state::Receipt::Accepted { revision } => {
            let force = if in_force {
                ", in force everywhere"
            } else {
                ""
            };
            (
                format!("accepted at revision {revision}{force}\n"),
                cli::ExitCode::Success,
            )
        }
        state::Receipt::Refused { cause } => (format!("refused: {cause}\n"), cli::ExitCode::NotRun),
        state::Receipt::LostRace {
            operator,
            number,
            revision,
        } => {
            let text = format!(
                "lost a race: command {number} of {operator} came first; revision is {revision}\n"
            );
            (text, cli::ExitCode::Conflict)
        }
        state::Receipt::Conflict => {
            let text = "conflict: this number was used for another command\n".to_owned();
            (text, cli::ExitCode::Conflict)
        }
        state::Receipt::TooOld { oldest } => {
            let text = format!("refused: numbers below {oldest} are no longer recorded\n");
            (text, cli::ExitCode::NotRun)
        }
    }
}

fn answer(name: &str, answer: &outcome::Answer) -> String {
    let mut text = String::new();
    let total = answer.coverage.total();
    let covered = answer.coverage.covered.len();
    let elapsed = answer.elapsed.as_secs_f64() * 1_000.0;
    let deadline = answer.deadline.as_millis();
    // Writing to a `String` never fails.
    let _ = writeln!(text, "{name} {}", answer.request);
    let _ = writeln!(
        text,
        "snapshot {} version {}",
        answer.snapshot.collection, answer.snapshot.version
    );
    let _ = writeln!(
        text,
        "shards {covered} of {total}: {:?}",
        answer.coverage.covered
    );
    if !answer.coverage.missing.is_empty() {
        let _ = writeln!(text, "missing {:?}", answer.coverage.missing);
    }
    if !answer.sufficient {
        let _ = writeln!(text, "coverage is below what was required");
    }
    let _ = writeln!(text, "time {elapsed:.1} ms of {deadline} ms");
    for hit in answer.hits.iter().take(MAX_HITS) {
        let _ = writeln!(text, "  {:8.3}  {}", hit.score, hit.id);
    }
    text
}

fn refusal(refusal: &outcome::Refusal) -> String {
    let mut text = format!(
        "not run {}: {}, {}\n",
        refusal.request,
        refusal.reason.name(),
        refusal.detail
    );
    if let Some(after) = refusal.retry_after {
        let _ = writeln!(text, "try again after {} ms", after.as_millis());
    }
    if !refusal.addresses.is_empty() {
        let _ = writeln!(text, "other addresses: {}", refusal.addresses.join(", "));
    }
    text
}

fn table(table: &control::Table) -> String {
    let mut widths: Vec<_> = table.columns.iter().map(String::len).collect();
    for row in &table.rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let mut text = String::new();
    for row in std::iter::once(&table.columns).chain(&table.rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

//! One load run.

use std::{sync, time};

use rand::SeedableRng as _;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::{load, searcher};

/// Samples that wait for the collector.
const SAMPLES: usize = 10_000;

/// Sends the load of the settings, executes the steps and reports.
///
/// Ends by itself: after the duration of the run it waits for the last
/// deadline and the patience of the callers.
///
/// # Errors
///
/// Returns an error if the key file cannot be read, a statement of the set-up
/// is refused or an HTTP client cannot be created.
pub async fn run(
    settings: load::Settings,
    steps: Vec<load::Step>,
    listings: Vec<searcher::Listing>,
    processes: Vec<(String, i32)>,
) -> anyhow::Result<load::Report> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let unix = time::SystemTime::now().duration_since(time::UNIX_EPOCH)?;
    let mut operator = load::Operator {
        client: client.clone(),
        name: settings.operator.clone(),
        key: match &settings.key_file {
            Some(path) => std::fs::read_to_string(path)?.trim().to_owned(),
            None => String::new(),
        },
        // Numbers of a later run must not repeat those of an earlier one.
        number: u64::try_from(unix.as_millis())?,
        seeds: settings.seed_addresses.clone(),
        listings: listings.clone(),
        processes,
    };
    for statement in &settings.setup {
        let statement = statement.clone();
        operator
            .execute(&load::StepAction::Command { statement })
            .await?;
    }
    let taker = load::CensusTaker { client, listings };
    let mut census = load::Census::default();
    census.record(taker.read().await);
    let (finish, finishing) = watch::channel(false);
    let census = tokio::spawn(taker.run(census, finishing));

    let (start, unix) = (
        time::Instant::now(),
        time::SystemTime::now().duration_since(time::UNIX_EPOCH)?,
    );
    let tally = tally(&settings, &steps)?;
    let events = tokio::spawn(operator.run(steps, start));
    let tally = send(&settings, tally, start, unix).await?;
    finish.send_replace(true);
    let census = census.await?;
    let searchers = census.report(&tally, unix);
    Ok(report(&settings, &tally, searchers, events.await?, unix))
}

fn tally(settings: &load::Settings, steps: &[load::Step]) -> anyhow::Result<load::Tally> {
    let commands = steps.iter().filter(|step| {
        // Signals change the tier as much as commands do.
        matches!(
            step.action,
            load::StepAction::Command { .. } | load::StepAction::Signal { .. }
        )
    });
    let windows = commands.map(|step| (step.at, step.at + settings.change_window));
    let verifier = load::Verifier::new(settings.all_versions());
    Ok(load::Tally::new(
        verifier,
        settings.tolerance,
        windows.collect(),
    )?)
}

async fn send(
    settings: &load::Settings,
    tally: load::Tally,
    start: time::Instant,
    unix: time::Duration,
) -> anyhow::Result<load::Tally> {
    let in_flight = usize::try_from(settings.in_flight)?;
    let permits = sync::Arc::new(Semaphore::new(in_flight));
    let (samples, receiver) = mpsc::channel(SAMPLES);
    let collector = load::Collector {
        tally,
        samples: receiver,
        permits: sync::Arc::clone(&permits),
        in_flight,
        start,
    };
    let collector = tokio::spawn(collector.run());
    let callers = (0..settings.callers).map(|_| Ok(sync::Arc::new(load::Caller::new(settings)?)));
    let generator = load::Generator {
        settings: settings.clone(),
        callers: callers.collect::<anyhow::Result<_>>()?,
        permits,
        samples,
        start,
        unix,
    };
    let random = rand::rngs::StdRng::seed_from_u64(settings.seed);
    generator.run(random).await;
    Ok(collector.await?)
}

fn report(
    settings: &load::Settings,
    tally: &load::Tally,
    searchers: load::SearcherReport,
    events: Vec<load::EventReport>,
    unix: time::Duration,
) -> load::Report {
    let millis = |duration: time::Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let kinds = tally.kinds();
    let false_claims =
        searchers.repeated.len() + searchers.false_refusals.len() + searchers.false_receipts.len();
    let wrong = tally.wrong + false_claims as u64;
    let scores = settings.scores.iter();
    load::Report {
        label: settings.label.clone(),
        baseline: settings.baseline,
        seed: settings.seed,
        began_ms: millis(unix),
        duration_ms: millis(settings.duration),
        intended: tally.intended(),
        unsent: tally.unsent.clone(),
        scores: scores
            .map(|scoring| load::Score::of(scoring, &kinds, wrong))
            .collect(),
        kinds,
        refusals: tally.refusals.clone(),
        failures: tally.failures.clone(),
        resends: tally.resends,
        verified: tally.verified,
        wrong: tally.wrong,
        faults: tally.faults.clone(),
        searchers,
        events,
    }
}

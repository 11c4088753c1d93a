//! Liveness reports with a field missing, from another writer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict, found, http, late, manifest,
    searcher::Searcher,
    site::{Site, ZONES},
    sleep,
};

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let clients = match found(
        site,
        &[10, 11, 12],
        &manifest(1, &late::routes(), &[("desk", late::WARMUP_PER_S)]),
    ) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let desks: Vec<_> = (0..3)
        .map(|index| Searcher::start(site, "desk", index, ZONES[index], 8))
        .collect();
    // A server of another installation, which answers to the id in its reports.
    let stranger = Searcher::listen("stranger", 0, "a", 8);
    sleep(4.0);
    late::send(&clients, Duration::from_millis(20));
    sleep(5.0);
    let reporting = Arc::new(AtomicBool::new(trouble));
    let writer = {
        let (site, stranger, reporting) = (
            Arc::clone(site),
            Arc::clone(&stranger),
            Arc::clone(&reporting),
        );
        thread::spawn(move || {
            for sequence in 1.. {
                if !reporting.load(Ordering::Relaxed) {
                    break;
                }
                report(&site, &stranger, sequence);
                sleep(1.2);
            }
        })
    };
    sleep(12.0);
    reporting.store(false, Ordering::Relaxed);
    let _ = writer.join();
    clients.stop();
    sleep(1.5);
    clients.keep(site);
    for searcher in desks.iter().chain([&stranger]) {
        let arrivals = searcher.arrivals.lock().expect("the arrivals");
        for arrival in arrivals.iter() {
            site.keep(arrival.at, &format!("{} runs {}", searcher.id, arrival.id));
        }
        site.note(&format!("{}: {} requests", searcher.id, arrivals.len()));
    }
    let outcomes = clients.outcomes.lock().expect("the outcomes");
    let served = outcomes
        .iter()
        .filter(|outcome| (200..300).contains(&outcome.status));
    let (foreign, own): (Vec<_>, Vec<_>) =
        served.partition(|outcome| outcome.stamp.starts_with("stranger."));
    site.note(&format!(
        "{} requests, {} successes with the receipt of a searcher, {} with that of the other server",
        outcomes.len(),
        own.len(),
        foreign.len(),
    ));
    if own.len() * 2 < outcomes.len() {
        return Verdict::CouldNotRun("less than half is served by the searchers".to_owned());
    }
    match foreign.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Sends a report without `Concurrency` to a control machine; of another shape, it has that, and
/// a version of another type.
fn report(site: &Site, stranger: &Searcher, sequence: u64) {
    let shape = std::env::var("SHAPE").unwrap_or_default();
    let odd = if shape == "type" {
        "\"Version\":1,\"Concurrency\":8"
    } else {
        "\"Version\":\"v1\""
    };
    let body = format!(
        "{{\"Backend\":\"desk\",\"Address\":\"{}\",\"Zone\":\"{}\",{odd},\"State\":\"ready\",\
         \"WarmupLeftMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
        stranger.address,
        stranger.zone,
        stranger.born.load(Ordering::Relaxed),
    );
    let path = format!("/fireflyspool/Instances.Heartbeat/{}", stranger.id);
    let vm = site.controls[sequence as usize % site.controls.len()];
    let address = site.at(vm, site.ports.control);
    let answer = http::call(
        address,
        "POST",
        &path,
        &[],
        body.as_bytes(),
        Duration::from_secs(1),
    );
    let status = answer.map_or(0, |answer| answer.status());
    site.note(&format!("control-{vm}: POST {path} {body} -> {status}"));
}

//! Liveness reports of a zone arrive late while its evacuation ends.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use crate::{
    Route, Verdict,
    client::{Clients, Kind},
    found, manifest,
    searcher::Searcher,
    site::{Site, ZONES},
    sleep,
};

/// Requests per second that the manifest allows to a cold searcher.
pub const WARMUP_PER_S: f64 = 2.0;

/// Most requests in a second at a cold searcher: `WarmupPerS` x `WarmupOvershoot` + `WarmupSlack`.
const BOUND: f64 = WARMUP_PER_S * 1.5 + 5.0;

/// Searchers of the zone that is evacuated.
const ZONE: &str = "b";

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let first = manifest(1, &routes(), &[("desk", WARMUP_PER_S)]);
    let clients = match found(site, &[10, 11, 12], &first) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let desks = searchers(site, [1, 1, 1]);
    let evacuated: Vec<_> = desks
        .iter()
        .filter(|searcher| searcher.zone == ZONE)
        .cloned()
        .collect();
    sleep(4.0);
    let start = Instant::now();
    send(&clients, Duration::from_millis(10));
    sleep(5.0);
    if trouble {
        for searcher in &evacuated {
            searcher.late.store(3_000, Ordering::Relaxed);
        }
        site.note("from now on the reports of zone b arrive 3 s late");
    }
    sleep(5.0);
    if site
        .order(&format!("/fireflyspool/Evacuation.Start/{ZONE}"), "")
        .is_none()
    {
        return Verdict::CouldNotRun("the evacuation wasn't acknowledged".to_owned());
    }
    site.note("the evacuation of zone b is acknowledged");
    sleep(12.0);
    for searcher in &evacuated {
        searcher.turn_cold(Duration::from_secs(3));
    }
    let cold = Instant::now();
    site.note("the searchers of zone b become cold for 3 s");
    sleep(0.5);
    if site
        .order(&format!("/fireflyspool/Evacuation.Finish/{ZONE}"), "")
        .is_none()
    {
        return Verdict::CouldNotRun("the end of the evacuation wasn't acknowledged".to_owned());
    }
    site.note("the end of the evacuation is acknowledged");
    sleep(8.0);
    clients.stop();
    sleep(1.5);
    note_served(site, &clients, start, cold);
    judge(site, &desks, &clients)
}

/// A route to look up and one to submit, both to the service `desk`.
pub fn routes() -> [Route; 2] {
    [("/desk/", "idempotent"), ("/claim/", "non_idempotent")].map(|(prefix, kind)| Route {
        prefix,
        target: "\"Backend\":\"desk\"",
        attempts: 2,
        kind,
    })
}

/// Searchers of `desk` in the zones; a cold one crashes at twice the bound.
pub fn searchers(site: &Arc<Site>, counts: [usize; 3]) -> Vec<Arc<Searcher>> {
    let zones = ZONES
        .iter()
        .zip(counts)
        .flat_map(|(zone, count)| std::iter::repeat(*zone).take(count));
    let start = |(index, zone)| {
        let searcher = Searcher::start(site, "desk", index, zone, 8);
        searcher.work.store(60, Ordering::Relaxed);
        searcher
            .fragile
            .store(2 * BOUND as usize, Ordering::Relaxed);
        searcher
    };
    zones.enumerate().map(start).collect()
}

/// Starts to look up at an interval, and to submit 20 times per second.
pub fn send(clients: &Arc<Clients>, interval: Duration) {
    let deadline = Duration::from_millis(1_000);
    let desk = Kind {
        route: "/desk/",
        method: "GET",
        prefix: "/desk/",
        deadline,
    };
    clients.stream(desk, interval);
    let claim = Kind {
        route: "/claim/",
        method: "POST",
        prefix: "/claim/",
        deadline,
    };
    clients.stream(claim, Duration::from_millis(50));
}

/// Notes how many requests were served before and after the searchers became cold.
pub fn note_served(site: &Site, clients: &Clients, start: Instant, cold: Instant) {
    for route in ["/desk/", "/claim/"] {
        let (sent, served) = clients.served(route, start, cold);
        site.note(&format!(
            "{route}: before the searchers became cold {served} of {sent} requests were served"
        ));
        let (sent, served) = clients.served(route, cold, Instant::now());
        site.note(&format!("{route}: after that {served} of {sent}"));
    }
}

/// Most requests that came to a cold searcher in a second, against the bound.
pub fn judge(site: &Site, desks: &[Arc<Searcher>], clients: &Clients) -> Verdict {
    clients.keep(site);
    let outcomes = clients.outcomes.lock().expect("the outcomes");
    let mut most = 0;
    for searcher in desks {
        let arrivals = searcher.arrivals.lock().expect("the arrivals");
        let mut times = Vec::new();
        for arrival in arrivals.iter() {
            let state = if arrival.cold { "cold" } else { "warm" };
            site.keep(
                arrival.at,
                &format!("{}, {state}, gets {}", searcher.id, arrival.id),
            );
            let sent = outcomes.iter().find(|outcome| outcome.id == arrival.id);
            if let (true, Some(outcome)) = (arrival.cold, sent) {
                times.push((outcome.sent, arrival.at));
            }
        }
        // Requests that were sent and arrived inside the second that begins with one of them.
        let count = |from: Instant| {
            let inside = |(sent, at): &&(Instant, Instant)| {
                *sent >= from && *at < from + Duration::from_secs(1)
            };
            times.iter().filter(inside).count()
        };
        let count = times
            .iter()
            .map(|(sent, _)| count(*sent))
            .max()
            .unwrap_or(0);
        site.note(&format!(
            "{}: {} requests, {} while cold, {count} at most in a second",
            searcher.id,
            arrivals.len(),
            times.len()
        ));
        let lost = searcher.lost.lock().expect("the lost requests");
        if !lost.is_empty() {
            site.note(&format!(
                "{}: crashed; {} requests that it ran were lost: {}",
                searcher.id,
                lost.len(),
                lost.join(" ")
            ));
        }
        most = most.max(count);
    }
    site.note(&format!(
        "bound for a cold searcher: {BOUND} in a second; most seen: {most}"
    ));
    match most as f64 > BOUND {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

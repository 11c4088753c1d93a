//! Liveness reports from another writer, for a service that isn't named in any manifest.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use crate::{
    Route, Verdict, client::Kind, found, http, manifest, searcher, searcher::Searcher, site::Site,
    sleep,
};

const FIRST: &str = "\"Backend\":\"desk\"";
const LATER: &str = "\"Backend\":\"claims\"";

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let first = || Route {
        prefix: "/desk/",
        target: FIRST,
        attempts: 2,
        kind: "idempotent",
    };
    let services = [("desk", 2.0), ("claims", 2.0)];
    let clients = match found(site, &[10, 11, 12], &manifest(1, &[first()], &services)) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let desks: Vec<_> = (0..3)
        .map(|index| Searcher::start(site, "desk", index, crate::site::ZONES[index], 8))
        .collect();
    let claims: Vec<_> = (0..3)
        .map(|index| Searcher::start(site, "claims", index, crate::site::ZONES[index], 8))
        .collect();
    sleep(3.0);
    let later = Route {
        prefix: "/claims/",
        target: LATER,
        attempts: 2,
        kind: "idempotent",
    };
    if site
        .order(
            "/fireflyspool/Config.Replace",
            &manifest(2, &[first(), later], &services),
        )
        .is_none()
    {
        return Verdict::CouldNotRun("the second manifest wasn't acknowledged".to_owned());
    }
    site.note("the manifest with the later route is acknowledged");
    sleep(4.0);
    for route in ["/desk/", "/claims/"] {
        let kind = Kind {
            route,
            method: "GET",
            prefix: route,
            deadline: Duration::from_millis(1_000),
        };
        clients.stream(kind, Duration::from_millis(100));
    }
    let start = Instant::now();
    sleep(8.0);
    let before = Instant::now();
    let baseline = ["/desk/", "/claims/"].map(|route| clients.served(route, start, before));
    site.note(&format!(
        "before: sent and served on the first route {:?}, on the later one {:?}",
        baseline[0], baseline[1]
    ));
    if baseline
        .iter()
        .any(|(sent, served)| *sent < 20 || served * 10 < sent * 9)
    {
        return Verdict::CouldNotRun("not nearly all is served before the disruption".to_owned());
    }
    if trouble {
        for (index, searcher) in claims.iter().enumerate() {
            // The writer names a service of its own, and what it reports has an id, a count and a
            // start of its own. Other shapes have the id of the searcher, or its start, too.
            let shape = std::env::var("SHAPE").unwrap_or_default();
            let (id, sequence, born) = match shape.as_str() {
                "id" => (searcher.id.clone(), 1, searcher::unix_millis()),
                "count" => (
                    searcher.id.clone(),
                    1_000,
                    searcher.born.load(Ordering::Relaxed),
                ),
                _ => (format!("j-{index}"), 1, searcher::unix_millis()),
            };
            let body = format!(
                "{{\"Backend\":\"elsewhere\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Concurrency\":8,\
                 \"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":{sequence},\"born\":{born}}}",
                searcher.address, searcher.zone,
            );
            let path = format!("/fireflyspool/Instances.Heartbeat/{id}");
            let vm = site.controls[index];
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
    }
    sleep(6.0);
    let calm = Instant::now();
    sleep(12.0);
    let end = Instant::now();
    clients.stop();
    sleep(1.5);
    for searcher in desks.iter().chain(&claims) {
        let arrivals = searcher.arrivals.lock().expect("the arrivals");
        let after = arrivals.iter().filter(|arrival| arrival.at >= calm).count();
        let reports = searcher.sequence.load(Ordering::Relaxed);
        site.note(&format!(
            "{}: {} requests, {after} of them in the judged time; {reports} reports",
            searcher.id,
            arrivals.len()
        ));
    }
    clients.keep(site);
    let [(sent_first, served_first), (sent_later, served_later)] =
        ["/desk/", "/claims/"].map(|route| clients.served(route, calm, end));
    site.note(&format!(
        "judged: first route {served_first} of {sent_first} served, later route {served_later} of {sent_later}",
    ));
    if sent_later < 20 || sent_first < 20 {
        return Verdict::CouldNotRun("too few requests".to_owned());
    }
    // Served less than a quarter as often as those on the first routes.
    match served_later * sent_first * 4 < served_first * sent_later {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

//! A request that crashes searchers comes again each second while many others run there.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Clients, Kind},
    found, late, manifest,
    searcher::Searcher,
    site::{Site, ZONES},
    sleep,
};

const SEARCHERS: usize = 9;
const SLOTS: usize = 64;
/// Milliseconds for which a request runs.
const WORK: u64 = 600;
/// Time between two ordinary requests; the searchers can run 960 in a second.
const INTERVAL: Duration = Duration::from_micros(1_200);

/// Paths of the requests that crash searchers, one after the other; ordinary ones have a number.
const DEADLY: [&str; 3] = ["/desk/again-a", "/desk/again-b", "/desk/again-c"];
const RETURNS: usize = 24;

/// `ContactMs` of the settings.
const CONTACT: Duration = Duration::from_secs(4);
/// Time from the sending of an entry machine to the arrival, with a margin.
const WAY: Duration = Duration::from_millis(100);
const ALLOWED: usize = 3;

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let first = manifest(1, &late::routes(), &[("desk", late::WARMUP_PER_S)]);
    let clients = match found(site, &[10, 11, 12], &first) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let start = |index: usize| Searcher::start(site, "desk", index, ZONES[index % 3], SLOTS);
    let desks: Vec<_> = (0..SEARCHERS).map(start).collect();
    for desk in &desks {
        desk.work.store(WORK, Ordering::Relaxed);
        if trouble {
            *desk.deadly.lock().expect("the paths") = DEADLY.to_vec();
        }
    }
    sleep(5.0);
    let deadline = Duration::from_millis(1_000);
    let kind = Kind {
        route: "/desk/",
        method: "GET",
        prefix: "/desk/",
        deadline,
    };
    let calm = Instant::now();
    clients.stream(kind, INTERVAL);
    sleep(6.0);
    let begun = Instant::now();
    let (sent, served) = clients.served("/desk/", calm, begun - Duration::from_secs(1));
    site.note(&format!(
        "before: {served} of {sent} ordinary requests were served"
    ));
    if served * 10 < sent * 9 {
        return Verdict::CouldNotRun("not nearly all is served before the disruption".to_owned());
    }
    for path in DEADLY {
        let again = Kind {
            route: path,
            prefix: path,
            ..kind
        };
        for _ in 0..RETURNS {
            let clients = Arc::clone(&clients);
            thread::spawn(move || clients.request(again));
            sleep(1.0);
        }
        sleep(6.0);
    }
    clients.stop();
    sleep(2.0);
    let (sent, served) = clients.served("/desk/", begun, Instant::now());
    site.note(&format!(
        "meanwhile: {served} of {sent} ordinary requests were served"
    ));
    let late = DEADLY.map(|path| judge(site, &desks, &clients, path));
    keep_load(site, &clients);
    match late.iter().any(|late| *late > ALLOWED) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Writes to the record how many ordinary requests were sent and served in each second.
fn keep_load(site: &Site, clients: &Clients) {
    let mut second = site.started;
    while second < Instant::now() {
        let next = second + Duration::from_secs(1);
        let (sent, served) = clients.served("/desk/", second, next);
        site.keep(
            second,
            &format!("in this second {sent} ordinary requests, {served} served"),
        );
        second = next;
    }
}

/// Number of retries of a request that reached searchers after it had to be contained.
fn judge(site: &Site, desks: &[Arc<Searcher>], clients: &Clients, path: &str) -> usize {
    let outcomes = clients.outcomes.lock().expect("the outcomes");
    let again = outcomes.iter().filter(|outcome| outcome.route == path);
    let again: Vec<_> = again.collect();
    for outcome in &again {
        let (id, status) = (&outcome.id, outcome.status);
        let text = format!(
            "{path} {id} -> {status} after {} ms",
            outcome.took.as_millis()
        );
        site.keep(outcome.sent, &text);
    }
    let ids: Vec<_> = again.iter().map(|outcome| outcome.id.as_str()).collect();
    let mut crashes = Vec::new();
    let mut reached = Vec::new();
    for desk in desks {
        for (at, cause) in desk.crashes.lock().expect("the crashes").iter() {
            if cause == path {
                site.keep(*at, &format!("{} crashes under {path}", desk.id));
                crashes.push(*at);
            }
        }
        for arrival in desk.arrivals.lock().expect("the arrivals").iter() {
            if ids.contains(&arrival.id.as_str()) {
                site.keep(arrival.at, &format!("{} gets {}", desk.id, arrival.id));
                reached.push((arrival.at, arrival.id.clone()));
            }
        }
    }
    crashes.sort_unstable();
    let bound = crashes.get(2).map(|third| *third + CONTACT + WAY);
    let is_late = |at: &Instant| bound.is_some_and(|bound| *at > bound);
    let late = reached.iter().filter(|(at, _)| is_late(at));
    let mut late: Vec<_> = late.map(|(_, id)| id).collect();
    late.sort_unstable();
    late.dedup();
    site.note(&format!(
        "{path} came {} times and reached searchers {} times; {} crashes; {} retries reached \
         searchers later than {} s after the third crash, {ALLOWED} may",
        again.len(),
        reached.len(),
        crashes.len(),
        late.len(),
        CONTACT.as_secs(),
    ));
    late.len()
}

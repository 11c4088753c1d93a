//! A searcher leaves before its first liveness report, which is delayed, has arrived.

use std::{io, sync::atomic::Ordering, thread, time};

use crate::{client, operator, record, server, site};

const HOST: &str = "h.example";
const SERVICE: &str = "viewer";
const ENTRIES: u8 = 3;

/// Searchers that stay.
const SERVERS: u8 = 3;

/// How late the first report of the searcher that leaves arrives.
const DELAY: time::Duration = time::Duration::from_millis(2_500);

/// When it leaves, from its start.
const LEAVES_AFTER: time::Duration = time::Duration::from_millis(500);

/// How long it serves after the confirmation.
const SERVES_ON: time::Duration = time::Duration::from_secs(12);

pub fn play(site: &site::Site, record: &record::Record, trouble: bool) -> io::Result<bool> {
    site.start(ENTRIES)?;
    let operator = operator::Operator { site, record };
    operator.accepted("/fireflyspool/Config.Replace", super::MANIFEST, 1)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let zone = site::ZONES[usize::from(number) % site::ZONES.len()];
        servers.push(server::Server::start(
            site,
            record,
            number,
            (SERVICE, zone),
            None,
        )?);
    }
    site.await_ready(&site.entries(ENTRIES), time::Duration::from_secs(20))?;
    thread::sleep(time::Duration::from_secs(5));
    let clients = client::Clients::start(
        site,
        record,
        (HOST, "/docs/"),
        6,
        time::Duration::from_millis(60),
    );
    thread::sleep(time::Duration::from_secs(3));

    let leaving = server::Server::create(site, record, SERVERS, (SERVICE, "a"), None)?;
    let started = time::Instant::now();
    let report = leaving.next_report();
    record.note(format!(
        "{} starts and sends its first report",
        leaving.name
    ));
    if !trouble {
        leaving.deliver(&report, 1)?;
    }
    thread::sleep(LEAVES_AFTER.saturating_sub(started.elapsed()));
    let vm = leaving.deregister();
    let acknowledged = time::Instant::now();
    let vm = vm.ok_or_else(|| io::Error::other("the departure was not acknowledged"))?;
    record.note(format!("VM {vm} acknowledged that {} leaves", leaving.name));
    if trouble {
        thread::sleep(DELAY.saturating_sub(started.elapsed()));
        record.note("the first report arrives".to_owned());
        leaving.deliver(&report, 1)?;
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    leaving.reports.store(false, Ordering::Relaxed);
    let (answered, failed) = clients.end();
    let from = acknowledged + site::DRAIN;
    let runs = leaving.runs();
    let late = runs.iter().filter(|run| run.at > from);
    let late: Vec<_> = late.map(|run| record.at(run.at)).collect();
    let last = late.last().copied().unwrap_or(0.0);
    record.note(format!(
        "departure acknowledged at {:.3}, DrainMs over at {:.3}: {} requests reached {} in all, \
         {} of them later, the last at {last:.3}; clients: {answered} served, {failed} not",
        record.at(acknowledged),
        record.at(from),
        runs.len(),
        leaving.name,
        late.len(),
    ));
    let ended = site.ended();
    if !ended.is_empty() || answered == 0 {
        return Err(io::Error::other(format!("ended by themselves: {ended:?}")));
    }
    Ok(late.is_empty())
}

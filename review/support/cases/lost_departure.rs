//! A searcher's acknowledged departure is forgotten when all processes are killed at once.

use std::{io, sync::atomic::Ordering, thread, time};

use crate::{client, operator, record, server, site};

const HOST: &str = "h.example";
const SERVICE: &str = "viewer";
const ENTRIES: u8 = 3;

/// Searchers; the last one leaves.
const SERVERS: u8 = 3;

/// When all processes are killed, from the confirmation, and how long they are down.
const KILLED_AFTER: time::Duration = time::Duration::from_millis(300);
const DOWN: time::Duration = time::Duration::from_secs(1);

/// When the delayed report arrives, from the confirmation.
const DELAY: time::Duration = time::Duration::from_millis(4_500);

/// How long the searcher serves after the confirmation.
const SERVES_ON: time::Duration = time::Duration::from_secs(14);

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
    let entries = site.entries(ENTRIES);
    site.await_ready(&entries, time::Duration::from_secs(20))?;
    thread::sleep(time::Duration::from_secs(5));
    let clients = client::Clients::start(
        site,
        record,
        (HOST, "/docs/"),
        6,
        time::Duration::from_millis(60),
    );
    thread::sleep(time::Duration::from_secs(5));

    let leaving = &servers[usize::from(SERVERS - 1)];
    let before = leaving.runs().len();
    leaving.reports.store(false, Ordering::Relaxed);
    let report = leaving.next_report();
    record.note(format!(
        "{} sends its last report, which is delayed",
        leaving.name
    ));
    let vm = leaving.deregister();
    let acknowledged = time::Instant::now();
    let vm = vm.ok_or_else(|| io::Error::other("the departure was not acknowledged"))?;
    record.note(format!("VM {vm} acknowledged that {} leaves", leaving.name));
    thread::sleep(KILLED_AFTER);
    let mut in_touch = acknowledged;
    if trouble {
        let all: Vec<_> = site.controls().into_iter().chain(entries.clone()).collect();
        site.kill(&all);
        thread::sleep(DOWN);
        for vm in all {
            site.start_vm(vm, false)?;
        }
        in_touch = time::Instant::now() + site::CONTACT;
        site.await_ready(&entries, time::Duration::from_secs(20))?;
        record.note("all entry VMs are ready".to_owned());
    }
    thread::sleep(DELAY.saturating_sub(acknowledged.elapsed()));
    leaving.deliver(&report, 1)?;
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    let (answered, failed) = clients.end();
    let from = (acknowledged + site::DRAIN).max(in_touch);
    let runs = leaving.runs();
    let late = runs.iter().filter(|run| run.at > from);
    let late: Vec<_> = late.map(|run| record.at(run.at)).collect();
    let last = late.last().copied().unwrap_or(0.0);
    record.note(format!(
        "departure acknowledged at {:.3}, DrainMs over and all machines in touch at {:.3}: \
         {before} requests reached {} before it left, {} of them later than that, the last at \
         {last:.3}; clients: {answered} served, {failed} not",
        record.at(acknowledged),
        record.at(from),
        leaving.name,
        late.len(),
    ));
    let ended = site.ended();
    if !ended.is_empty() || before == 0 {
        return Err(io::Error::other(format!("ended by themselves: {ended:?}")));
    }
    Ok(late.is_empty())
}

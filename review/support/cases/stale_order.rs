//! An evacuation order that waits in a frozen control VM is executed after later orders.

use std::{io, sync::Arc, thread, time};

use crate::{client, operator, record, server, site};

const HOST: &str = "h.example";
const SERVICE: &str = "viewer";
const ENTRIES: u8 = 3;
const SERVERS: u8 = 6;
const ZONE: &str = "a";

/// Control VM that is frozen, and that the operator picks for the order meanwhile.
const FROZEN: u8 = 2;

/// How long it is frozen.
const FREEZE: time::Duration = time::Duration::from_secs(5);

/// How long the check lasts.
const WATCH: time::Duration = time::Duration::from_secs(8);

pub fn play(site: &site::Site, record: &record::Record, trouble: bool) -> io::Result<bool> {
    site.start(ENTRIES)?;
    let operator = operator::Operator { site, record };
    operator.accepted("/fireflyspool/Config.Replace", super::MANIFEST, 1)?;
    let servers: io::Result<Vec<Arc<server::Server>>> = (0..SERVERS)
        .map(|number| {
            let zone = site::ZONES[usize::from(number) % site::ZONES.len()];
            server::Server::start(site, record, number, (SERVICE, zone), None)
        })
        .collect();
    let servers = servers?;
    site.await_ready(&site.entries(ENTRIES), time::Duration::from_secs(20))?;
    thread::sleep(time::Duration::from_secs(4));
    let clients = client::Clients::start(
        site,
        record,
        (HOST, "/docs/"),
        6,
        time::Duration::from_millis(60),
    );
    thread::sleep(time::Duration::from_secs(4));
    let start = format!("/fireflyspool/Evacuation.Start/{ZONE}");
    let finish = format!("/fireflyspool/Evacuation.Finish/{ZONE}");

    operator.accepted(&start, "", 3)?;
    thread::sleep(time::Duration::from_secs(3));
    let frozen_at = time::Instant::now();
    if trouble {
        site.signal(FROZEN, "STOP")?;
    }
    thread::sleep(time::Duration::from_millis(300));
    operator.accepted(&finish, "", FROZEN)?;
    thread::sleep(time::Duration::from_millis(1_200));
    let acknowledged = operator.accepted(&start, "", 4)?;
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    let thawed = time::Instant::now();
    if trouble {
        site.signal(FROZEN, "CONT")?;
    }

    // From here on all machines are in touch and the evacuation must be in force.
    let from = (acknowledged + site::EVACUATE).max(thawed + site::CONTACT);
    let until = from + WATCH;
    thread::sleep(until.saturating_duration_since(time::Instant::now()));
    let (answered, failed) = clients.end();
    operator.accepted(&finish, "", 3)?;
    let runs = servers.iter().flat_map(|server| server.runs());
    let runs: Vec<_> = runs.filter(|run| run.at > from && run.at < until).collect();
    let late = runs.iter().filter(|run| run.zone == ZONE).count();
    record.note(format!(
        "second Evacuation.Start/{ZONE} acknowledged at {:.3}; VM {FROZEN} awake at {:.3}; \
         between {:.3} and {:.3}: {late} of {} requests ran in zone {ZONE}; \
         clients: {answered} served, {failed} not",
        record.at(acknowledged),
        record.at(thawed),
        record.at(from),
        record.at(until),
        runs.len()
    ));
    if runs.is_empty() {
        return Err(io::Error::other("no request ran"));
    }
    Ok(late == 0)
}

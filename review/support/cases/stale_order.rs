//! An evacuation order that waits in a frozen control VM is executed after later orders.

use std::{io, sync::Arc, thread, time};

use crate::{client, operator, record, server, site};

const HOST: &str = "h.example";
const SERVICE: &str = "viewer";
const ENTRIES: u8 = 3;
const SERVERS: u8 = 6;
const ZONE: &str = "a";

/// Control VMs that are frozen, one in each round, and that the operator picks for an order
/// meanwhile; and those that acknowledge the next order.
const ROUNDS: [(u8, u8); 3] = [(2, 4), (4, 1), (2, 5)];

/// How long it is frozen.
const FREEZE: time::Duration = time::Duration::from_secs(5);

/// How long the check lasts in each round.
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
    let mut held = true;
    for (frozen, next) in ROUNDS {
        thread::sleep(time::Duration::from_secs(3));
        let frozen_at = time::Instant::now();
        if trouble {
            site.signal(frozen, "STOP")?;
        }
        thread::sleep(time::Duration::from_millis(300));
        operator.accepted(&finish, "", frozen)?;
        thread::sleep(time::Duration::from_millis(1_200));
        let acknowledged = operator.accepted(&start, "", next)?;
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        let thawed = time::Instant::now();
        if trouble {
            site.signal(frozen, "CONT")?;
        }

        // From here on all machines are in touch and the evacuation must be in force.
        let from = (acknowledged + site::EVACUATE).max(thawed + site::CONTACT);
        let until = from + WATCH;
        thread::sleep(until.saturating_duration_since(time::Instant::now()));
        let runs = servers.iter().flat_map(|server| server.runs());
        let runs: Vec<_> = runs.filter(|run| run.at > from && run.at < until).collect();
        let late = runs.iter().filter(|run| run.zone == ZONE).count();
        record.note(format!(
            "Evacuation.Start/{ZONE} acknowledged at {:.3}; VM {frozen} awake at {:.3}; between \
             {:.3} and {:.3}: {late} of {} requests ran in zone {ZONE}",
            record.at(acknowledged),
            record.at(thawed),
            record.at(from),
            record.at(until),
            runs.len()
        ));
        if runs.is_empty() {
            return Err(io::Error::other("no request ran"));
        }
        held &= late == 0;
    }
    let (answered, failed) = clients.end();
    record.note(format!("clients: {answered} served, {failed} not"));
    Ok(held)
}

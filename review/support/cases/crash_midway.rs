//! A request that crashes the searchers while they answer it is sent to searchers without end.

use std::{collections::BTreeSet, env, io, thread, time};

use crate::{client, operator, record, server, site};

const HOST: &str = "h.example";
const SERVICE: &str = "viewer";
const ENTRIES: u8 = 3;
const SERVERS: u8 = 6;

/// Path of the request that crashes searchers; the other requests go to numbers.
const PATH: &str = "/docs/all-of-1996";

/// Interval at which its caller sends it again, and for how long.
const REPEAT: time::Duration = time::Duration::from_secs(1);
const REPEATED_FOR: time::Duration = time::Duration::from_secs(25);

/// Crashes after which the request is known to cause them, and the retries that may reach
/// searchers later than `ContactMs` after the last of these.
const KNOWN_CRASHES: usize = 3;
const LATE_RETRIES: usize = 3;

pub fn play(site: &site::Site, record: &record::Record, trouble: bool) -> io::Result<bool> {
    site.start(ENTRIES)?;
    let operator = operator::Operator { site, record };
    operator.accepted("/fireflyspool/Config.Replace", super::MANIFEST, 1)?;
    let midway = env::var("CRASH").map_or(true, |value| value != "early");
    let crashing = trouble.then_some(server::Crashing { path: PATH, midway });
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let zone = site::ZONES[usize::from(number) % site::ZONES.len()];
        servers.push(server::Server::start(
            site,
            record,
            number,
            (SERVICE, zone),
            crashing,
        )?);
    }
    site.await_ready(&site.entries(ENTRIES), time::Duration::from_secs(20))?;
    thread::sleep(time::Duration::from_secs(6));
    let clients = client::Clients::start(
        site,
        record,
        (HOST, "/docs/"),
        4,
        time::Duration::from_millis(150),
    );
    thread::sleep(time::Duration::from_secs(2));

    let mut directory = client::Directory::new(site, 0);
    let start = time::Instant::now();
    let mut number = 0;
    while start.elapsed() < REPEATED_FOR {
        number += 1;
        if let Some(entry) = directory.entry(number) {
            let id = format!("again-{number}");
            let answer = client::send(entry, HOST, PATH, &id, "GET", b"");
            let status = answer.map_or(0, |answer| answer.status());
            record.note(format!("request {id} {PATH} to {entry}: status {status}"));
        }
        thread::sleep(REPEAT);
    }
    let (answered, failed) = clients.end();
    let runs = servers.iter().flat_map(|server| server.runs());
    let mut runs: Vec<_> = runs.filter(|run| run.path == PATH).collect();
    runs.sort_by_key(|run| run.at);
    let Some(known) = runs.get(KNOWN_CRASHES - 1).map(|run| run.at) else {
        return Err(io::Error::other("the request reached too few searchers"));
    };
    let late = runs.iter().filter(|run| run.at > known + site::CONTACT);
    let late: BTreeSet<_> = late.map(|run| &run.id).collect();
    record.note(format!(
        "the request reached searchers {} times, the third time at {:.3}; {} of its {number} \
         retries reached searchers later than {:.3}; other clients: {answered} served, {failed} not",
        runs.len(),
        record.at(known),
        late.len(),
        record.at(known + site::CONTACT),
    ));
    let ended = site.ended();
    if !ended.is_empty() || answered == 0 {
        return Err(io::Error::other(format!("ended by themselves: {ended:?}")));
    }
    // Without crashes any number of them may.
    Ok(!trouble || late.len() <= LATE_RETRIES)
}

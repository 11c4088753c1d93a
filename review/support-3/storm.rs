//! Many clients submit large bodies at the same time.

use std::{
    fs,
    io::Write as _,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::Kind,
    found, http, late, manifest,
    searcher::Searcher,
    site::{Site, ZONES},
    sleep,
};

const ENTRIES: [u8; 3] = [10, 11, 12];

/// Bodies that are on their way to an entry machine at the same time.
const BODIES: usize = 700;
/// Bytes of a body; `MaxBodyBytes` of the manifest.
const BODY: usize = 262_144;
/// Bytes of a small body, with `TROUBLE=0`.
const SMALL: usize = 1_024;
/// Last bytes of a body, which follow after [`PAUSE`].
const REST: usize = 144;
const PAUSE: f64 = 3.0;
const ROUNDS: usize = 3;

/// `MemoryMb` of the settings, in KiB.
const MEMORY_KIB: u64 = 182 * 1_024;

/// What the platform has seen of an entry machine.
#[derive(Default)]
struct Seen {
    most_kib: u64,
    kills: usize,
}

pub fn run(site: &Arc<Site>, trouble: bool) -> Verdict {
    let first = manifest(1, &late::routes(), &[("desk", late::WARMUP_PER_S)]);
    let clients = match found(site, &ENTRIES, &first) {
        Ok(clients) => clients,
        Err(cause) => return Verdict::CouldNotRun(cause),
    };
    let _desks: Vec<_> = (0..3)
        .map(|index| Searcher::start(site, "desk", index, ZONES[index], 64))
        .collect();
    sleep(4.0);
    let kind = Kind {
        route: "/desk/",
        method: "GET",
        prefix: "/desk/",
        deadline: Duration::from_millis(1_000),
    };
    let begun = Instant::now();
    clients.stream(kind, Duration::from_millis(20));
    let seen: Arc<[Mutex<Seen>; 3]> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let platform = {
        let (site, seen, ended) = (Arc::clone(site), Arc::clone(&seen), Arc::clone(&ended));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                for (vm, seen) in ENTRIES.iter().zip(seen.iter()) {
                    watch(&site, *vm, &mut seen.lock().expect("the machine"));
                }
                sleep(0.1);
            }
        })
    };
    sleep(3.0);
    let size = if trouble { BODY } else { SMALL };
    for round in 1..=ROUNDS {
        let uploads = ENTRIES.map(|vm| {
            let site = Arc::clone(site);
            thread::spawn(move || upload(&site, vm, size))
        });
        let answered: Vec<_> = uploads
            .into_iter()
            .map(|upload| upload.join().unwrap_or(0))
            .collect();
        site.note(&format!(
            "round {round}: {BODIES} bodies of {size} bytes to each entry machine, answered {answered:?}",
        ));
        sleep(6.0);
    }
    ended.store(true, Ordering::Relaxed);
    let _ = platform.join();
    clients.stop();
    sleep(1.5);
    clients.keep(site);
    let (sent, served) = clients.served("/desk/", begun, Instant::now());
    site.note(&format!("{served} of {sent} ordinary requests were served"));
    let mut ended_thrice = 0;
    for (vm, seen) in ENTRIES.iter().zip(seen.iter()) {
        let seen = seen.lock().expect("the machine");
        let (most, kills) = (seen.most_kib, seen.kills);
        site.note(&format!(
            "entry-{vm}: at most {most} KiB of {MEMORY_KIB}, ended {kills} times for that",
        ));
        ended_thrice += usize::from(kills >= 3);
    }
    match ended_thrice >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Ends and restarts a process that uses more memory than its machine has.
fn watch(site: &Site, vm: u8, seen: &mut Seen) {
    let Some(pid) = site.pid(vm) else { return };
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
    let used: u64 = figure.unwrap_or(0);
    seen.most_kib = seen.most_kib.max(used);
    if used > MEMORY_KIB {
        seen.kills += 1;
        site.kill(vm);
        site.note(&format!("entry-{vm} uses {used} KiB and is ended"));
        sleep(0.3);
        site.start(vm, false);
    }
}

/// Submits bodies on connections of their own to one machine; returns how many were answered.
fn upload(site: &Site, vm: u8, size: usize) -> usize {
    let address = site.at(vm, site.ports.frontend);
    let body = vec![b'x'; size];
    let (early, rest) = body.split_at(size - REST);
    let mut open = Vec::new();
    for number in 0..BODIES {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
        let head = format!(
            "POST /claim/{number} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: u{vm}n{number}\r\n\
             X-Deadline-Ms: 20000\r\nContent-Length: {size}\r\n\r\n",
        );
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(early));
        if sent.is_ok() {
            open.push(stream);
        }
    }
    site.note(&format!("entry-{vm}: {} bodies are nearly in", open.len()));
    sleep(PAUSE);
    let deadline = Instant::now() + Duration::from_secs(5);
    open.retain_mut(|stream| stream.write_all(rest).is_ok());
    let answered = |stream: &mut TcpStream| {
        let answer = http::answer(stream, &mut Vec::new(), deadline);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    };
    open.iter_mut()
        .map(answered)
        .filter(|answered| *answered)
        .count()
}

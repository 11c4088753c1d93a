//! Stand-in clients.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

use crate::{http, record, site};

/// How long the directory's answer is used.
const ADDRESS_LIFETIME: time::Duration = time::Duration::from_secs(2);

/// Clients that look up entry VMs and send requests at a steady rate.
pub struct Clients {
    stop: Arc<AtomicBool>,
    pub answered: Arc<AtomicU64>,
    pub failed: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients, each with a request every `interval`.
    pub fn start(
        site: &site::Site,
        record: &record::Record,
        (host, path): (&'static str, &'static str),
        count: u64,
        interval: time::Duration,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (answered, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let next = Arc::new(AtomicU64::new(0));
        let threads = (0..count).map(|client| {
            let (site, record, stop, next) = (
                site.clone(),
                record.clone(),
                Arc::clone(&stop),
                Arc::clone(&next),
            );
            let (answered, failed) = (Arc::clone(&answered), Arc::clone(&failed));
            thread::spawn(move || {
                let mut directory = Directory::new(&site, client);
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if let Some(entry) = directory.entry(number) {
                        let id = format!("c{number}");
                        let path = format!("{path}{number}");
                        let served = send(entry, host, &path, &id, "GET", b"")
                            .is_some_and(|answer| answer.status() == 200);
                        let counter = if served { &answered } else { &failed };
                        counter.fetch_add(1, Ordering::Relaxed);
                        if !served {
                            record.note(format!("request {id} to {entry} was not served"));
                        }
                    }
                    thread::sleep(interval);
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            answered,
            failed,
            threads,
        }
    }

    /// Stops the clients and waits for them.
    pub fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        (
            self.answered.load(Ordering::Relaxed),
            self.failed.load(Ordering::Relaxed),
        )
    }
}

/// Sends one request; `None` without an answer.
pub fn send(
    entry: net::SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    method: &str,
    body: &[u8],
) -> Option<http::Message> {
    let headers = [
        ("Host", host),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "2000"),
    ];
    http::call(
        entry,
        method,
        path,
        &headers,
        body,
        time::Duration::from_secs(2),
    )
    .ok()
}

/// Addresses of entry VMs as a client knows them.
pub struct Directory {
    site: site::Site,
    known: Vec<net::SocketAddr>,
    until: time::Instant,
    turn: u64,
    zone: &'static str,
}

impl Directory {
    pub fn new(site: &site::Site, client: u64) -> Self {
        Self {
            site: site.clone(),
            known: Vec::new(),
            until: time::Instant::now(),
            turn: client,
            zone: site::ZONES[client as usize % site::ZONES.len()],
        }
    }

    /// An entry VM for the next request; `None` if none is known.
    pub fn entry(&mut self, number: u64) -> Option<net::SocketAddr> {
        if self.until <= time::Instant::now() {
            self.ask();
        }
        let index = number.checked_rem(self.known.len() as u64)?;
        self.known.get(index as usize).copied()
    }

    fn ask(&mut self) {
        let controls = self.site.controls();
        for _ in 0..3 {
            self.turn += 1;
            let vm = controls[self.turn as usize % controls.len()];
            let path = format!(
                "/fireflyspool/resolve?Name=h.example&Region=r&Zone={}",
                self.zone
            );
            let second = time::Duration::from_secs(1);
            let answer = http::call(self.site.directory(vm), "GET", &path, &[], b"", second);
            let Ok(answer) = answer else { continue };
            let text = answer.text();
            let list = text
                .split("\"addrs\":[")
                .nth(1)
                .and_then(|rest| rest.split(']').next());
            let addresses = list.unwrap_or_default().split(',');
            let known: Vec<_> = addresses
                .filter_map(|one| one.trim_matches('"').parse().ok())
                .collect();
            if answer.status() == 200 && !known.is_empty() {
                self.known = known;
                self.until = time::Instant::now() + ADDRESS_LIFETIME;
                return;
            }
        }
        self.until = time::Instant::now() + time::Duration::from_millis(200);
    }
}

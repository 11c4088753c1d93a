//! Stand-in clients: a steady stream of requests, each on a connection of its own.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, site::Site};

/// One request of a client and its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent: Instant,
    pub route: &'static str,
    pub id: String,
    /// Status, or 0 without an answer.
    pub status: u16,
    /// Receipt of the searcher, if the answer has one.
    pub stamp: String,
    pub took: Duration,
}

/// Kind of request that a stream sends.
#[derive(Clone, Copy)]
pub struct Kind {
    pub route: &'static str,
    pub method: &'static str,
    /// A number follows if it ends with a slash.
    pub prefix: &'static str,
    pub deadline: Duration,
}

pub struct Clients {
    stopped: AtomicBool,
    next: AtomicU64,
    pub outcomes: Mutex<Vec<Outcome>>,
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Clients {
    /// Starts to ask the directory for addresses, as often as its answers live.
    pub fn new(site: &Arc<Site>) -> Arc<Self> {
        let clients = Arc::new(Self {
            stopped: AtomicBool::new(false),
            next: AtomicU64::new(0),
            outcomes: Mutex::default(),
            addresses: Mutex::default(),
        });
        let (asking, site) = (Arc::clone(&clients), Arc::clone(site));
        thread::spawn(move || {
            while !asking.stopped.load(Ordering::Relaxed) {
                let mut found: Vec<_> = crate::site::ZONES
                    .iter()
                    .flat_map(|zone| site.resolve(zone))
                    .collect();
                found.sort_unstable();
                found.dedup();
                if !found.is_empty() {
                    *asking.addresses.lock().expect("the addresses") = found;
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        clients
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.lock().expect("the addresses").clone()
    }

    /// Waits until the directory names so many machines.
    pub fn wait_for(&self, count: usize, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.addresses().len() >= count {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends requests of a kind at regular intervals until the clients stop.
    pub fn stream(self: &Arc<Self>, kind: Kind, every: Duration) {
        let clients = Arc::clone(self);
        thread::spawn(move || {
            let mut due = Instant::now();
            while !clients.stopped.load(Ordering::Relaxed) {
                let sender = Arc::clone(&clients);
                thread::spawn(move || sender.request(kind));
                due += every;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
    }

    /// Sends one request to a machine that the directory names; tries the next one if it accepts
    /// no connection.
    pub fn request(&self, kind: Kind) -> Option<Outcome> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let addresses = self.addresses();
        let start = Instant::now();
        for turn in 0..addresses.len().min(3) {
            let address = addresses[(number as usize + turn) % addresses.len()];
            let id = format!("r{number:06}t{turn}");
            let path = match kind.prefix.ends_with('/') {
                true => format!("{}{number}", kind.prefix),
                false => kind.prefix.to_owned(),
            };
            let sent = Instant::now();
            let left = kind.deadline.saturating_sub(start.elapsed());
            let millis = left.as_millis().to_string();
            let headers = [
                ("Host", "h.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", millis.as_str()),
            ];
            let body: &[u8] = if kind.method == "GET" {
                b""
            } else {
                b"content"
            };
            let answer = http::call(address, kind.method, &path, &headers, body, left);
            let refused = matches!(&answer, Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused);
            if refused && turn + 1 < addresses.len().min(3) {
                continue;
            }
            let answer = answer.unwrap_or_default();
            let stamp = answer.header("x-server-stamp").unwrap_or("").to_owned();
            let outcome = Outcome {
                sent,
                route: kind.route,
                id,
                status: answer.status(),
                stamp,
                took: sent.elapsed(),
            };
            self.outcomes
                .lock()
                .expect("the outcomes")
                .push(outcome.clone());
            return Some(outcome);
        }
        None
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Writes the ends of all requests to the record.
    pub fn keep(&self, site: &Site) {
        for outcome in self.outcomes.lock().expect("the outcomes").iter() {
            let Outcome {
                route,
                id,
                status,
                stamp,
                took,
                ..
            } = outcome;
            let text = format!(
                "{route} {id} -> {status} {stamp} after {} ms",
                took.as_millis()
            );
            site.keep(outcome.sent, &text);
        }
    }

    /// Number of requests of a route that were sent between two times, and of those served.
    pub fn served(&self, route: &str, from: Instant, to: Instant) -> (usize, usize) {
        let outcomes = self.outcomes.lock().expect("the outcomes");
        let sent = outcomes
            .iter()
            .filter(|outcome| outcome.route == route && (from..to).contains(&outcome.sent));
        let is_served = |outcome: &&Outcome| (200..300).contains(&outcome.status);
        (sent.clone().count(), sent.filter(is_served).count())
    }
}

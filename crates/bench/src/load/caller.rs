//! One simulated caller.

use std::{net, sync, time};

use fireflyspool::{directory, outcome};

use crate::load;

/// Addresses that a caller tries for one request.
const MOST_ATTEMPTS: u32 = 3;

/// Longest wait for one address response; a stopped VM must not use up the deadline.
const ADDRESS_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Idle connections that a caller keeps for each address.
const IDLE_CONNECTIONS: usize = 32;

/// Sends requests as one caller with its own connections and address cache.
#[derive(Debug)]
pub struct Caller {
    client: reqwest::Client,
    seeds: Vec<net::SocketAddr>,
    baseline: bool,
    delay: time::Duration,
    patience: time::Duration,
    book: sync::Mutex<load::AddressBook>,
    asking: tokio::sync::Mutex<()>,
}

impl Caller {
    /// A caller with an empty address cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(settings: &load::Settings) -> reqwest::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .connect_timeout(ADDRESS_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            seeds: settings.seed_addresses.clone(),
            baseline: settings.baseline,
            delay: settings.site.caller_delay,
            patience: settings.patience,
            book: sync::Mutex::default(),
            asking: tokio::sync::Mutex::default(),
        })
    }

    /// Sends a request that was intended for a moment and waits for its end.
    pub async fn send(
        &self,
        request: load::Request,
        intended: time::Instant,
        entropy: u64,
    ) -> load::Sample {
        let deadline = intended + request.template.deadline;
        let mut attempts = 0;
        let mut ending = load::Ending::Unsent("no address".to_owned());
        let mut candidates = self.addresses(&request, deadline, entropy).await;
        while attempts < MOST_ATTEMPTS && !candidates.is_empty() {
            let address = candidates.remove(0);
            let left = deadline.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                if attempts == 0 {
                    ending = load::Ending::Unsent("deadline passed before sending".to_owned());
                }
                break;
            }
            attempts += 1;
            tokio::time::sleep(self.delay).await;
            ending = self.attempt(&request, address, left).await;
            tokio::time::sleep(self.delay).await;
            match &ending {
                load::Ending::Unsent(_) => {}
                load::Ending::Response(outcome::Outcome::NotRun(refusal))
                    if !self.baseline && advises_others(refusal) =>
                {
                    let others = refusal.addresses.iter();
                    let others = others.filter_map(|other| other.parse().ok());
                    let others: Vec<_> = others.filter(|other| *other != address).collect();
                    if !others.is_empty() {
                        candidates = others;
                    }
                }
                _ => break,
            }
            self.lock().avoid(address, time::Instant::now());
        }
        load::Sample {
            request,
            latency: intended.elapsed(),
            ending,
            resends: attempts.saturating_sub(1),
        }
    }

    async fn attempt(
        &self,
        request: &load::Request,
        address: net::SocketAddr,
        left: time::Duration,
    ) -> load::Ending {
        let body = serde_json::json!({
            "statement": request.statement(left),
            "request": request.id,
        });
        let sent = self
            .client
            .post(format!("http://{address}/v1/query"))
            .timeout(left + self.patience)
            .json(&body)
            .send()
            .await;
        let response = match sent {
            Ok(response) => response,
            // Only a connection that was never opened proves that nothing was sent.
            Err(error) if error.is_connect() => {
                return load::Ending::Unsent("connection refused".to_owned());
            }
            Err(error) if error.is_timeout() => return load::Ending::Failed("timeout".to_owned()),
            Err(_) => return load::Ending::Failed("connection broken".to_owned()),
        };
        let status = response.status().as_u16();
        match response.json::<outcome::Outcome>().await {
            Ok(outcome) => load::Ending::Response(outcome),
            Err(error) if error.is_timeout() => load::Ending::Failed("timeout".to_owned()),
            Err(error) if error.is_decode() => {
                load::Ending::Failed(format!("status {status} without an outcome"))
            }
            Err(_) => load::Ending::Failed("connection broken".to_owned()),
        }
    }

    async fn addresses(
        &self,
        request: &load::Request,
        deadline: time::Instant,
        entropy: u64,
    ) -> Vec<net::SocketAddr> {
        let mut seeds = self.seeds.clone();
        let count = seeds.len().max(1) as u64;
        seeds.rotate_left(usize::try_from(entropy % count).unwrap_or(0));
        if self.baseline {
            return seeds;
        }
        let service = &request.template.service;
        if !self.lock().is_fresh(service, time::Instant::now()) {
            // One request asks; the others of this caller wait for the response.
            let asking = self.asking.lock().await;
            if !self.lock().is_fresh(service, time::Instant::now()) {
                self.ask(service, &seeds, deadline).await;
            }
            drop(asking);
        }
        self.lock().candidates(service, time::Instant::now())
    }

    async fn ask(&self, service: &str, seeds: &[net::SocketAddr], deadline: time::Instant) {
        for seed in seeds {
            if time::Instant::now() >= deadline {
                return;
            }
            tokio::time::sleep(self.delay * 2).await;
            let response = self
                .client
                .get(format!("http://{seed}/v1/addresses?service={service}"))
                .timeout(ADDRESS_TIMEOUT)
                .send()
                .await;
            let Ok(response) = response else { continue };
            if let Ok(answer) = response.json::<directory::AddressList>().await
                && !answer.addresses.is_empty()
            {
                self.lock().store(answer, time::Instant::now());
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, load::AddressBook> {
        // Every change of the book is complete, so a poisoned lock still holds consistent data.
        self.book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Whether the refusal concerns the address and not the request.
fn advises_others(refusal: &outcome::Refusal) -> bool {
    matches!(
        refusal.reason,
        outcome::RefusalReason::NoLease | outcome::RefusalReason::Draining
    )
}

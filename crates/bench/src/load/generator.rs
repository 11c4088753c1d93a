//! Source of requests.

use std::{sync, time};

use rand::Rng as _;
use tokio::sync::{Semaphore, mpsc};

use crate::load;

/// Starts every request at its intended time, whatever became of earlier ones.
#[derive(Debug)]
pub struct Generator {
    /// Settings of the run.
    pub settings: load::Settings,
    /// Callers.
    pub callers: Vec<sync::Arc<load::Caller>>,
    /// Permits of requests in progress.
    pub permits: sync::Arc<Semaphore>,
    /// Samples.
    pub samples: mpsc::Sender<load::Sample>,
    /// Start of the run.
    pub start: time::Instant,
    /// Start of the run since the Unix epoch.
    pub unix: time::Duration,
}

impl Generator {
    /// Starts requests until the duration of the run has passed.
    pub async fn run(self, mut random: rand::rngs::StdRng) {
        let mix = load::Mix::new(&self.settings.requests);
        let mut arrivals = load::Arrivals::default();
        let mut number = 0_usize;
        while arrivals.at() < self.settings.duration && !self.callers.is_empty() {
            let rate = self.settings.rate_at(arrivals.at());
            let Some(intended) = arrivals.advance(rate, random.next_u64()) else {
                continue;
            };
            let Some(template) = mix.choose(random.next_u64()) else {
                return;
            };
            if intended >= self.settings.duration {
                return;
            }
            let unix = self.unix + intended;
            let request =
                load::Request::new(template, number as u64, random.next_u64(), intended, unix);
            number += 1;
            tokio::time::sleep_until((self.start + intended).into()).await;
            self.start_request(request, number, random.next_u64()).await;
        }
    }

    async fn start_request(&self, request: load::Request, number: usize, entropy: u64) {
        let intended = self.start + request.intended;
        let caller = sync::Arc::clone(&self.callers[number % self.callers.len()]);
        let samples = self.samples.clone();
        let permit = sync::Arc::clone(&self.permits).try_acquire_owned();
        let Ok(permit) = permit else {
            let sample = load::Sample {
                request,
                latency: intended.elapsed(),
                ending: load::Ending::Unsent("too many in progress".to_owned()),
                resends: 0,
            };
            // The collector outlives all senders.
            drop(samples.send(sample).await);
            return;
        };
        tokio::spawn(async move {
            let sample = caller.send(request, intended, entropy).await;
            drop(samples.send(sample).await);
            drop(permit);
        });
    }
}

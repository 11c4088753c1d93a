//! CPU time of the state machine.

use std::time;

use fireflyspool::{backend, dispatch};

use crate::fixture;

/// Sub-requests per batch.
const BATCH: u64 = 1_000;

/// Batches per setting; the median is printed, because other processes disturb some of them.
const BATCHES: usize = 100;

/// Dispatcher with the time spent in it.
struct Meter {
    dispatcher: dispatch::Dispatcher,
    view: fireflyspool::view::View,
    now: time::Instant,
    spent: time::Duration,
    running: std::collections::VecDeque<backend::SearchRequest>,
    /// Sub-requests that wait or run.
    pending: usize,
}

impl Meter {
    fn handle(&mut self, event: dispatch::Event) {
        self.now += time::Duration::from_micros(50);
        let start = time::Instant::now();
        let actions = self.dispatcher.handle(event, &self.view, self.now, 17);
        self.spent += start.elapsed();
        for action in actions {
            let is_reply = matches!(action, dispatch::Action::Reply { .. });
            if let dispatch::Action::Send {
                body: dispatch::Body::Search(request),
                ..
            } = action
            {
                self.running.push_back(request);
            }
            // Counted here, because reading the gauges would evict the processor's caches.
            self.pending -= usize::from(is_reply);
        }
    }
}

/// Returns the median nanoseconds per sub-request, and how many wait at the end.
fn measure(servers: u32, waiting: usize) -> (u128, usize) {
    let now = time::Instant::now();
    let records = (0..servers).map(|n| fixture::record(&format!("searcher-{n}"), n, 2, &[n / 3]));
    let config = dispatch::Config {
        queue_limit: 4_000,
        slow_start: false,
        ..dispatch::Config::default()
    };
    let lease = now + time::Duration::from_secs(3_600);
    let mut meter = Meter {
        dispatcher: dispatch::Dispatcher::new(
            fixture::NODE,
            1,
            fixture::SERVICE.to_owned(),
            config,
        ),
        view: fixture::view(records.collect(), lease),
        now,
        spent: time::Duration::ZERO,
        running: std::collections::VecDeque::new(),
        pending: 0,
    };
    let mut sub = 0;
    let mut done = 0;
    let mut batches = Vec::new();
    while batches.len() < BATCHES {
        while meter.pending < waiting + 2 * servers as usize {
            meter.pending += 1;
            sub += 1;
            let shard = u32::try_from(sub * 7 % u64::from(servers / 3)).expect("few shards");
            // Deadlines vary, so that sub-requests are inserted in the middle of the queue.
            let remaining = time::Duration::from_secs(600 + sub * 37 % 100);
            meter.handle(dispatch::Event::Submit(fixture::search(
                sub, shard, remaining,
            )));
        }
        if sub < 3 * u64::from(servers) + waiting as u64 {
            // Not measured: the first sub-requests fill the queue.
            (meter.spent, done) = (time::Duration::ZERO, 0);
        }
        let Some(request) = meter.running.pop_front() else {
            break;
        };
        let reply = fixture::reply(&request, 1);
        let attempt = request.attempt;
        meter.handle(dispatch::Event::Answered { attempt, reply });
        done += 1;
        if done == BATCH {
            batches.push(meter.spent.as_nanos() / u128::from(BATCH));
            (meter.spent, done) = (time::Duration::ZERO, 0);
        }
    }
    batches.sort_unstable();
    let left = meter.dispatcher.gauges(meter.now).waiting;
    (batches[BATCHES / 2], left)
}

/// Prints nanoseconds per sub-request (submission, send and answer together).
pub(crate) fn print_cost() {
    for servers in [3, 30, 300] {
        for waiting in [10, 100, 1_000] {
            let (nanos, left) = measure(servers, waiting);
            println!("{servers} servers, {waiting} waiting ({left} at the end): {nanos} ns");
        }
    }
}

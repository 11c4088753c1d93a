//! Randomized runs of real processes under faults from outside.
//!
//! Callers, an operator and backend servers check invariants, while faults that
//! follow from the seed kill, suspend, stop and reload processes and disrupt
//! connections. Faults overlap, with two exceptions: at most a minority of the
//! control VMs is faulty at a time, and entry VMs are suspended only while no
//! server leaves and no zone is taken out, because a VM that is cut off cannot
//! learn of either.

mod backend;
mod checker;
mod checker_state;
mod context;
mod faults;
mod link_fault;
mod load;
mod operator;
mod random;
mod relay;
mod vm;
mod vms;

use std::{collections, net, sync, time};

use tokio::sync::Mutex;

use crate::platform_site::{Caller, DESK, SHARDS, Site};
use context::Context;
use random::Random;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Control VMs; a minority of two may be faulty.
const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];

/// Time after the last fault in which callers are served again; `RecoveryS` of
/// the users' sites.
const RECOVERY: time::Duration = time::Duration::from_secs(12);

const CALLERS: usize = 6;

/// Size and length of a run.
#[derive(Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) length: time::Duration,
    pub(crate) entries: u8,
}

/// Plays one seed; panics with its timeline if an invariant was broken.
pub(crate) async fn run(seed: u64, plan: Plan) {
    let mut random = Random::new(seed);
    let (context, vms) = open(seed, plan).await;
    let backends = start_backends().await;
    let mut tasks = tokio::task::JoinSet::new();
    let shared = |context: &sync::Arc<Context>| sync::Arc::clone(context);
    for backend in &backends {
        let backend = sync::Arc::clone(backend);
        tasks.spawn(backend::report(shared(&context), backend, random.fork()));
    }
    // The first configuration and formation are part of the run.
    operator::install(&context, RECOVERY).await;
    until_served(&context, "after the start").await;
    for number in 0..CALLERS {
        let name = format!("s{seed}-{number}-");
        tasks.spawn(load::call(shared(&context), name, random.fork()));
    }
    tasks.spawn(operator::operate(shared(&context), random.fork()));
    let faults = faults::Faults::new(shared(&context), vms, backends.clone());
    faults::play(&faults, plan.length, &mut random).await;
    context.checker.log("all faults have ended".to_owned());
    until_served(&context, "after the last fault").await;
    context.stop();
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            context.checker.violation(format!("a task failed: {error}"));
        }
    }
    operator::read_back(&context, RECOVERY).await;
    faults.check_processes().await;
    check_singles(&context, &backends).await;
    context.checker.judge();
    report(seed, &context);
}

async fn open(seed: u64, plan: Plan) -> (sync::Arc<Context>, vms::Vms) {
    let network = u8::try_from(20 + seed % 200).expect("below 220");
    let site = Site::new(network);
    let numbers: Vec<u8> = (11..11 + plan.entries).collect();
    let mut entries = collections::BTreeMap::new();
    for number in &numbers {
        let address = site.at(*number, 1);
        entries.insert(address, relay::Relay::start(address).await);
    }
    let mut controls = Vec::new();
    for number in CONTROLS {
        controls.push(relay::Relay::start(site.control(number)).await);
    }
    let context = sync::Arc::new(Context::new(site, entries, controls));
    let start = |(index, number): (usize, &u8), role| {
        let zone = ZONES[index % ZONES.len()];
        sync::Arc::new(Mutex::new(vm::Vm::start(&context, *number, role, zone)))
    };
    let controls = CONTROLS.iter().enumerate();
    let vms = vms::Vms {
        controls: controls.map(|place| start(place, "control")).collect(),
        entries: numbers
            .iter()
            .enumerate()
            .map(|place| start(place, "entry"))
            .collect(),
    };
    (context, vms)
}

async fn start_backends() -> Vec<backend::SharedBackend> {
    let mut list = Vec::new();
    for service in SHARDS.iter().chain([&DESK]) {
        for (number, zone) in ZONES.into_iter().enumerate() {
            let backend = backend::Backend::start(service, zone, number).await;
            list.push(sync::Arc::new(Mutex::new(backend)));
        }
    }
    list
}

/// Waits until every entry VM gives whole answers.
async fn until_served(context: &Context, when: &str) {
    let start = time::Instant::now();
    let mut caller = Caller::named("wait-");
    let mut waiting: Vec<net::SocketAddr> = context.entries.keys().copied().collect();
    while start.elapsed() < RECOVERY {
        let mut still = Vec::new();
        for entry in waiting {
            if caller.gather(entry).await != Some(0) {
                still.push(entry);
            }
        }
        if still.is_empty() {
            return;
        }
        waiting = still;
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let line = format!("no whole answers {when} in {RECOVERY:?} from {waiting:?}");
    context.checker.violation(line);
}

/// Checks that nothing ran twice, and that "not run" was true.
async fn check_singles(context: &Context, backends: &[backend::SharedBackend]) {
    let mut ran: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for backend in backends {
        for (id, times) in backend.lock().await.ran() {
            *ran.entry(id).or_default() += times;
        }
    }
    for (id, status) in context.checker.singles() {
        let times = ran.get(&id).copied().unwrap_or(0);
        if times > 1 {
            context.checker.violation(format!("{id} ran {times} times"));
        }
        if status == Some(503) && times > 0 {
            context
                .checker
                .violation(format!("{id} was answered as not run"));
        }
    }
}

fn report(seed: u64, context: &Context) {
    let (gathered, whole) = context.checker.counts();
    let singles = context.checker.singles().len();
    let violations = context.checker.violations();
    eprintln!(
        "seed {seed}: {gathered} queries, {whole} whole, {singles} single requests, \
         {} violations",
        violations.len()
    );
    assert!(
        violations.is_empty(),
        "failed with FIREFLYSPOOL_SEED={seed}: {violations:#?}\n{}",
        context.checker.timeline()
    );
}

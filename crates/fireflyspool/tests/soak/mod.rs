//! Randomized runs of real processes under faults from outside.
//!
//! Callers, an operator and backend servers check what the system promises
//! them, while a script that follows from the seed kills, freezes, stops and
//! reloads processes and disturbs connections. Faults overlap, except that a
//! minority of the control VMs is disturbed at a time, and that entry VMs are
//! frozen only while no server leaves and no zone is taken out: promises about
//! those bind VMs in touch.

mod backends;
mod fault;
mod ledger;
mod load;
mod operator;
mod random;
mod relay;
mod script;
mod stage;
mod vm;

use std::{collections, net, sync, time};

use tokio::sync::Mutex;

use crate::platform_site::{Caller, DESK, SHARDS, Site};
use random::Random;
use stage::Stage;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Control VMs; a minority of two may be disturbed.
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

/// Plays one seed; panics with its story if a promise was broken.
pub(crate) async fn run(seed: u64, plan: Plan) {
    let mut random = Random::new(seed);
    let (stage, vms) = open(seed, plan).await;
    let backends = start_backends().await;
    let mut tasks = tokio::task::JoinSet::new();
    let shared = |stage: &sync::Arc<Stage>| sync::Arc::clone(stage);
    for backend in &backends {
        let backend = sync::Arc::clone(backend);
        tasks.spawn(backends::report(shared(&stage), backend, random.fork()));
    }
    // The first configuration and formation are part of the run.
    operator::install(&stage, RECOVERY).await;
    until_served(&stage, "after the start").await;
    for number in 0..CALLERS {
        let name = format!("s{seed}-{number}-");
        tasks.spawn(load::call(shared(&stage), name, random.fork()));
    }
    tasks.spawn(operator::operate(shared(&stage), random.fork()));
    let parts = script::Parts::new(shared(&stage), vms, backends.clone());
    script::play(&parts, plan.length, &mut random).await;
    stage.ledger.tell("all faults have ended".to_owned());
    until_served(&stage, "after the last fault").await;
    stage.stop();
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            stage.ledger.violate(format!("a task failed: {error}"));
        }
    }
    operator::read_back(&stage, RECOVERY).await;
    parts.check_processes().await;
    check_singles(&stage, &backends).await;
    stage.ledger.judge();
    report(seed, &stage);
}

async fn open(seed: u64, plan: Plan) -> (sync::Arc<Stage>, script::Vms) {
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
    let stage = sync::Arc::new(Stage::new(site, entries, controls));
    let start = |(index, number): (usize, &u8), role| {
        let zone = ZONES[index % ZONES.len()];
        sync::Arc::new(Mutex::new(vm::Vm::start(&stage, *number, role, zone)))
    };
    let controls = CONTROLS.iter().enumerate();
    let vms = script::Vms {
        controls: controls.map(|place| start(place, "control")).collect(),
        entries: numbers
            .iter()
            .enumerate()
            .map(|place| start(place, "entry"))
            .collect(),
    };
    (stage, vms)
}

async fn start_backends() -> Vec<backends::SharedBackend> {
    let mut list = Vec::new();
    for service in SHARDS.iter().chain([&DESK]) {
        for (number, zone) in ZONES.into_iter().enumerate() {
            let backend = backends::Backend::start(service, zone, number).await;
            list.push(sync::Arc::new(Mutex::new(backend)));
        }
    }
    list
}

/// Waits until every entry VM gives whole answers.
async fn until_served(stage: &Stage, when: &str) {
    let start = time::Instant::now();
    let mut caller = Caller::named("wait-");
    let mut waiting: Vec<net::SocketAddr> = stage.entries.keys().copied().collect();
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
    stage.ledger.violate(line);
}

/// Checks that nothing ran twice, and that "not run" was true.
async fn check_singles(stage: &Stage, backends: &[backends::SharedBackend]) {
    let mut ran: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for backend in backends {
        for (id, times) in backend.lock().await.ran() {
            *ran.entry(id).or_default() += times;
        }
    }
    for (id, status) in stage.ledger.singles() {
        let times = ran.get(&id).copied().unwrap_or(0);
        if times > 1 {
            stage.ledger.violate(format!("{id} ran {times} times"));
        }
        if status == Some(503) && times > 0 {
            stage
                .ledger
                .violate(format!("{id} was answered as not run"));
        }
    }
}

fn report(seed: u64, stage: &Stage) {
    let (gathered, whole) = stage.ledger.counts();
    let singles = stage.ledger.singles().len();
    let violations = stage.ledger.violations();
    eprintln!(
        "seed {seed}: {gathered} queries, {whole} whole, {singles} single requests, \
         {} violations",
        violations.len()
    );
    assert!(
        violations.is_empty(),
        "failed with FIREFLYSPOOL_SEED={seed}: {violations:#?}\n{}",
        stage.ledger.story()
    );
}

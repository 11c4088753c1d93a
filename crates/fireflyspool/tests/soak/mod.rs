//! Randomized runs of real processes under faults from outside.
//!
//! Callers, an operator and backend servers check invariants, while faults that
//! are drawn from the seed kill, suspend, stop and reload processes and disrupt
//! connections. Faults overlap, with two exceptions: at most a minority of the
//! control VMs is faulty at a time, and entry VMs are suspended only while no
//! server drains and no zone is evacuated, because a VM that is cut off cannot
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

use crate::platform_site::{Caller, SHARDS, SINGLE_SERVICE, Site};
use context::Context;
use random::Random;

/// Availability zones, assigned to VMs and backend servers in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Numbers of the control VMs; at most two are faulty at a time.
const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];

/// Longest time from the last fault until callers are served again; `RecoveryS`
/// of the users' sites.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);

const CALLER_COUNT: usize = 6;

/// Length of the fault phase and number of entry VMs.
#[derive(Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) length: time::Duration,
    pub(crate) entries: u8,
}

/// Runs one seed; panics with its timeline if an invariant was broken.
pub(crate) async fn run(seed: u64, plan: Plan) {
    let mut random = Random::new(seed);
    let (context, vms) = start_vms(seed, plan).await;
    let backends = start_backends().await;
    let mut tasks = tokio::task::JoinSet::new();
    let share = |context: &sync::Arc<Context>| sync::Arc::clone(context);
    for backend in &backends {
        let backend = sync::Arc::clone(backend);
        tasks.spawn(backend::send_heartbeats(
            share(&context),
            backend,
            random.fork(),
        ));
    }
    // Forming the control group and the first configuration are tested too.
    operator::install(&context, RECOVERY_LIMIT).await;
    wait_until_served(&context, "after the start").await;
    for number in 0..CALLER_COUNT {
        let name = format!("s{seed}-{number}-");
        tasks.spawn(load::call(share(&context), name, random.fork()));
    }
    tasks.spawn(operator::operate(share(&context), random.fork()));
    let faults = faults::Faults::new(share(&context), vms, backends.clone());
    faults::inject(&faults, plan.length, &mut random).await;
    context.checker.log("all faults have ended".to_owned());
    wait_until_served(&context, "after the last fault").await;
    context.stop();
    while let Some(ended) = tasks.join_next().await {
        if let Err(error) = ended {
            context
                .checker
                .record_violation(format!("a task failed: {error}"));
        }
    }
    operator::read_back(&context, RECOVERY_LIMIT).await;
    faults.check_processes().await;
    check_single_requests(&context, &backends).await;
    context.checker.confirm_suspicions();
    assert_no_violations(seed, &context);
}

async fn start_vms(seed: u64, plan: Plan) -> (sync::Arc<Context>, vms::Vms) {
    let network = u8::try_from(20 + seed % 200).expect("below 220");
    let site = Site::new(network);
    let numbers: Vec<u8> = (11..11 + plan.entries).collect();
    let mut entries = collections::BTreeMap::new();
    for number in &numbers {
        let address = site.address(*number, 1);
        entries.insert(address, relay::Relay::start(address).await);
    }
    let mut controls = Vec::new();
    for number in CONTROLS {
        controls.push(relay::Relay::start(site.control(number)).await);
    }
    let context = sync::Arc::new(Context::new(site, entries, controls));
    let start_vm = |(index, number): (usize, &u8), role| {
        let zone = ZONES[index % ZONES.len()];
        sync::Arc::new(Mutex::new(vm::Vm::start(&context, *number, role, zone)))
    };
    let controls = CONTROLS.iter().enumerate();
    let vms = vms::Vms {
        controls: controls.map(|place| start_vm(place, "control")).collect(),
        entries: numbers
            .iter()
            .enumerate()
            .map(|place| start_vm(place, "entry"))
            .collect(),
    };
    (context, vms)
}

async fn start_backends() -> Vec<backend::SharedBackend> {
    let mut list = Vec::new();
    for service in SHARDS.iter().chain([&SINGLE_SERVICE]) {
        for (number, zone) in ZONES.into_iter().enumerate() {
            let backend = backend::Backend::start(service, zone, number).await;
            list.push(sync::Arc::new(Mutex::new(backend)));
        }
    }
    list
}

/// Waits until every entry VM has given a complete answer.
async fn wait_until_served(context: &Context, when: &str) {
    let start = time::Instant::now();
    let mut caller = Caller::named("wait-");
    let mut pending: Vec<net::SocketAddr> = context.entries.keys().copied().collect();
    while start.elapsed() < RECOVERY_LIMIT {
        let mut unserved = Vec::new();
        for entry in pending {
            if caller.query_shards(entry).await != Some(0) {
                unserved.push(entry);
            }
        }
        if unserved.is_empty() {
            return;
        }
        pending = unserved;
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let line = format!("no complete answers {when} in {RECOVERY_LIMIT:?} from {pending:?}");
    context.checker.record_violation(line);
}

/// Checks that no single request ran twice, and that none answered with 503 ran.
async fn check_single_requests(context: &Context, backends: &[backend::SharedBackend]) {
    let mut executions: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for backend in backends {
        for (id, count) in backend.lock().await.executions() {
            *executions.entry(id).or_default() += count;
        }
    }
    for (id, status) in context.checker.singles() {
        let count = executions.get(&id).copied().unwrap_or(0);
        if count > 1 {
            context
                .checker
                .record_violation(format!("{id} ran {count} times"));
        }
        if status == Some(503) && count > 0 {
            context
                .checker
                .record_violation(format!("{id} ran although it was answered with 503"));
        }
    }
}

fn assert_no_violations(seed: u64, context: &Context) {
    let (queries, complete) = context.checker.counts();
    let singles = context.checker.singles().len();
    let violations = context.checker.violations();
    eprintln!(
        "seed {seed}: {queries} queries, {complete} complete, {singles} single requests, \
         {} violations",
        violations.len()
    );
    assert!(
        violations.is_empty(),
        "failed with FIREFLYSPOOL_SEED={seed}: {violations:#?}\n{}",
        context.checker.timeline()
    );
}

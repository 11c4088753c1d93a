//! The faults of one run.

use std::{sync, time};

use tokio::{
    sync::{Mutex, Semaphore},
    task::JoinSet,
};

use super::{backend, context::Context, link_fault::LinkFault, random::Random, vm::Vm, vms::Vms};

/// Control VMs of five that may be faulty at a time.
const MINORITY: u32 = 2;

/// Time after a fault for which a control VM still counts as faulty.
const REJOIN: time::Duration = time::Duration::from_secs(3);

/// Time in which a zone is out of use everywhere; `EvacuateMs` of the users' sites.
const EVACUATE: time::Duration = time::Duration::from_secs(5);

/// Attempts of an order to take a zone out or back.
const ORDERS: usize = 20;

/// What faults act on.
#[derive(Clone)]
pub(crate) struct Faults {
    context: sync::Arc<Context>,
    vms: Vms,
    backends: Vec<backend::SharedBackend>,
    /// Permits for faults of control VMs.
    minority: sync::Arc<Semaphore>,
    /// Held while entry VMs are cut off from the control VMs, and while something is
    /// checked that binds only those that are not.
    isolation: sync::Arc<Mutex<()>>,
}

impl Faults {
    pub(crate) fn new(
        context: sync::Arc<Context>,
        vms: Vms,
        backends: Vec<backend::SharedBackend>,
    ) -> Self {
        Self {
            context,
            vms,
            backends,
            minority: sync::Arc::new(Semaphore::new(MINORITY as usize)),
            isolation: sync::Arc::default(),
        }
    }

    pub(crate) async fn check_processes(&self) {
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            vm.lock().await.check(&self.context);
        }
    }

    async fn control(&self, mut random: Random) {
        let Ok(_permit) = self.minority.try_acquire() else {
            return;
        };
        let index = random.index(self.vms.controls.len());
        let mut vm = self.vms.controls[index].lock().await;
        let pause = Vm::outage(&mut random);
        match random.below(4) {
            0 => vm.kill(&self.context, pause, false).await,
            1 => vm.freeze(&self.context, pause).await,
            2 => vm.stop(&self.context, pause).await,
            _ => vm.reload(&self.context),
        }
        drop(vm);
        tokio::time::sleep(REJOIN).await;
    }

    async fn lost_disk(&self, mut random: Random) {
        let Ok(_all) = self.minority.try_acquire_many(MINORITY) else {
            return;
        };
        let index = random.index(self.vms.controls.len());
        let pause = Vm::outage(&mut random);
        let mut vm = self.vms.controls[index].lock().await;
        vm.kill(&self.context, pause, true).await;
        drop(vm);
        tokio::time::sleep(REJOIN).await;
    }

    async fn entry(&self, mut random: Random) {
        let index = random.index(self.vms.entries.len());
        let Ok(mut vm) = self.vms.entries[index].try_lock() else {
            return;
        };
        let pause = Vm::outage(&mut random);
        match random.below(3) {
            0 => vm.kill(&self.context, pause, false).await,
            1 => vm.stop(&self.context, pause).await,
            _ => vm.reload(&self.context),
        }
    }

    async fn frozen_entry(&self, mut random: Random) {
        let index = random.index(self.vms.entries.len());
        let (Ok(_isolation), Ok(mut vm)) = (
            self.isolation.try_lock(),
            self.vms.entries[index].try_lock(),
        ) else {
            return;
        };
        vm.freeze(&self.context, Vm::outage(&mut random)).await;
        tokio::time::sleep(REJOIN).await;
    }

    /// All VMs lose power at the same moment.
    async fn power_loss(&self, mut random: Random) {
        let (Ok(_isolation), Ok(_all)) = (
            self.isolation.try_lock(),
            self.minority.try_acquire_many(MINORITY),
        ) else {
            return;
        };
        self.context.checker.log("all VMs lose power".to_owned());
        let pause = Vm::outage(&mut random);
        let mut kills = JoinSet::new();
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            let (vm, context) = (sync::Arc::clone(vm), sync::Arc::clone(&self.context));
            kills.spawn(async move { vm.lock().await.kill(&context, pause, false).await });
        }
        kills.join_all().await;
        tokio::time::sleep(REJOIN).await;
    }

    async fn replaced_backend(&self, mut random: Random) {
        let Ok(_isolation) = self.isolation.try_lock() else {
            return;
        };
        let index = random.index(self.backends.len());
        let mut backend = self.backends[index].lock().await;
        backend.replace(&self.context, &mut random).await;
    }

    async fn zone_out(&self, mut random: Random) {
        let Ok(_isolation) = self.isolation.try_lock() else {
            return;
        };
        let zone = "c";
        let start = format!("Evacuation.Start/{zone}");
        if self.order(&start, &mut random).await {
            let since = time::Instant::now();
            tokio::time::sleep(EVACUATE + random.millis(500, 1_500)).await;
            for backend in &self.backends {
                let backend = backend.lock().await;
                let late = backend
                    .last_start()
                    .is_some_and(|last| last > since + EVACUATE);
                if backend.zone() == zone && late {
                    let line = format!("{} ran a request although it is out", backend.name());
                    self.context.checker.violation(line);
                }
            }
        }
        let finish = format!("Evacuation.Finish/{zone}");
        if !self.order(&finish, &mut random).await {
            let line = format!("zone {zone} was not taken back in {ORDERS} attempts");
            self.context.checker.violation(line);
        }
    }

    async fn order(&self, order: &str, random: &mut Random) -> bool {
        let http = Context::client();
        for _ in 0..ORDERS {
            let control = self.context.any_control(random);
            let status = Context::order(&http, control, order, String::new()).await;
            if status.is_some_and(|status| status.is_success()) {
                self.context.checker.log(format!("{order} acknowledged"));
                return true;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        false
    }

    async fn link_fault(&self, mut random: Random) {
        let fault = LinkFault::draw(&mut random);
        let pause = random.millis(100, 1_500);
        let context = &self.context;
        match random.below(4) {
            0 => {
                let position = random.index(context.entries.len());
                let (address, relay) = context.entries.iter().nth(position).expect("in range");
                self.log_link(&address.to_string(), fault, pause);
                let since = time::Instant::now();
                relay.hold(fault, pause).await;
                context.checker.fault(*address, since, time::Instant::now());
            }
            1 => {
                let position = random.index(context.controls.len());
                self.log_link(&format!("control {}", position + 1), fault, pause);
                context.controls[position].hold(fault, pause).await;
            }
            _ => {
                let backend = &self.backends[random.index(self.backends.len())];
                let backend = backend.lock().await;
                self.log_link(&backend.name(), fault, pause);
                backend.relay.hold(fault, pause).await;
            }
        }
    }

    fn log_link(&self, name: &str, fault: LinkFault, pause: time::Duration) {
        let line = format!("link to {name}: {fault:?} for {pause:?}");
        self.context.checker.log(line);
    }
}

/// Plays faults for a time and returns once the last has ended.
pub(crate) async fn play(faults: &Faults, length: time::Duration, random: &mut Random) {
    let start = time::Instant::now();
    let mut running = JoinSet::new();
    while start.elapsed() < length {
        tokio::time::sleep(random.millis(50, 700)).await;
        let (faults, choice, random) = (faults.clone(), random.below(100), random.fork());
        running.spawn(async move {
            match choice {
                0..22 => faults.control(random).await,
                22..28 => faults.lost_disk(random).await,
                28..46 => faults.entry(random).await,
                46..54 => faults.frozen_entry(random).await,
                54..58 => faults.power_loss(random).await,
                58..66 => faults.replaced_backend(random).await,
                66..70 => faults.zone_out(random).await,
                _ => faults.link_fault(random).await,
            }
        });
    }
    while let Some(ended) = running.join_next().await {
        if let Err(error) = ended {
            faults
                .context
                .checker
                .violation(format!("a fault failed: {error}"));
        }
    }
}

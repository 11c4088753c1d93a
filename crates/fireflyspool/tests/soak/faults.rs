//! Random faults of one run.

use std::{sync, time};

use tokio::{
    sync::{Mutex, Semaphore},
    task::JoinSet,
};

use super::{backend, context::Context, link_fault::LinkFault, random::Random, vm::Vm, vms::Vms};

/// Control VMs, of five, that may be faulty at a time.
const FAULTY_CONTROLS: u32 = 2;

/// Time after a fault for which a control VM still counts as faulty.
const REJOIN_TIME: time::Duration = time::Duration::from_secs(3);

/// Longest time until no entry VM uses an evacuated zone; `EvacuateMs` of the users'
/// sites.
const EVACUATION_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Attempts to start or finish the evacuation of a zone.
const ORDER_ATTEMPTS: usize = 20;

/// Targets of faults, and the locks that limit which faults overlap.
#[derive(Clone)]
pub(crate) struct Faults {
    context: sync::Arc<Context>,
    vms: Vms,
    backends: Vec<backend::SharedBackend>,
    /// One permit for each control VM that may be faulty.
    control_permits: sync::Arc<Semaphore>,
    /// Held while entry VMs are suspended or all VMs are down, and while a check
    /// runs that holds only for entry VMs in contact with the control VMs.
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
            control_permits: sync::Arc::new(Semaphore::new(FAULTY_CONTROLS as usize)),
            isolation: sync::Arc::default(),
        }
    }

    pub(crate) async fn check_processes(&self) {
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            vm.lock().await.check_process(&self.context);
        }
    }

    async fn disrupt_control(&self, mut random: Random) {
        let Ok(_permit) = self.control_permits.try_acquire() else {
            return;
        };
        let index = random.index(self.vms.controls.len());
        let mut vm = self.vms.controls[index].lock().await;
        let pause = Vm::random_outage(&mut random);
        match random.below(4) {
            0 => vm.kill(&self.context, pause, false).await,
            1 => vm.suspend(&self.context, pause).await,
            2 => vm.stop(&self.context, pause).await,
            _ => vm.reload(&self.context),
        }
        drop(vm);
        tokio::time::sleep(REJOIN_TIME).await;
    }

    async fn lose_control_disk(&self, mut random: Random) {
        let Ok(_all) = self.control_permits.try_acquire_many(FAULTY_CONTROLS) else {
            return;
        };
        let index = random.index(self.vms.controls.len());
        let pause = Vm::random_outage(&mut random);
        let mut vm = self.vms.controls[index].lock().await;
        vm.kill(&self.context, pause, true).await;
        drop(vm);
        tokio::time::sleep(REJOIN_TIME).await;
    }

    async fn disrupt_entry(&self, mut random: Random) {
        let index = random.index(self.vms.entries.len());
        let Ok(mut vm) = self.vms.entries[index].try_lock() else {
            return;
        };
        let pause = Vm::random_outage(&mut random);
        match random.below(3) {
            0 => vm.kill(&self.context, pause, false).await,
            1 => vm.stop(&self.context, pause).await,
            _ => vm.reload(&self.context),
        }
    }

    async fn suspend_entry(&self, mut random: Random) {
        let index = random.index(self.vms.entries.len());
        let (Ok(_isolation), Ok(mut vm)) = (
            self.isolation.try_lock(),
            self.vms.entries[index].try_lock(),
        ) else {
            return;
        };
        vm.suspend(&self.context, Vm::random_outage(&mut random))
            .await;
        tokio::time::sleep(REJOIN_TIME).await;
    }

    /// Kills the processes of all VMs at the same time, as a power loss does.
    async fn lose_power(&self, mut random: Random) {
        let (Ok(_isolation), Ok(_all)) = (
            self.isolation.try_lock(),
            self.control_permits.try_acquire_many(FAULTY_CONTROLS),
        ) else {
            return;
        };
        self.context.checker.log("all VMs lose power".to_owned());
        let pause = Vm::random_outage(&mut random);
        let mut kills = JoinSet::new();
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            let (vm, context) = (sync::Arc::clone(vm), sync::Arc::clone(&self.context));
            kills.spawn(async move { vm.lock().await.kill(&context, pause, false).await });
        }
        kills.join_all().await;
        tokio::time::sleep(REJOIN_TIME).await;
    }

    async fn replace_backend(&self, mut random: Random) {
        let Ok(_isolation) = self.isolation.try_lock() else {
            return;
        };
        let index = random.index(self.backends.len());
        let mut backend = self.backends[index].lock().await;
        backend.replace(&self.context, &mut random).await;
    }

    async fn pause_backend(&self, mut random: Random) {
        let backend = &self.backends[random.index(self.backends.len())];
        // The lock keeps link faults away, and heartbeats too: they resume before the timeout.
        let pause = random.millis(700, 1_300);
        backend.lock().await.pause(&self.context, pause).await;
    }

    async fn evacuate_zone(&self, mut random: Random) {
        let Ok(_isolation) = self.isolation.try_lock() else {
            return;
        };
        let zone = "c";
        let start = format!("Evacuation.Start/{zone}");
        if self.order(&start, &mut random).await {
            let since = time::Instant::now();
            tokio::time::sleep(EVACUATION_LIMIT + random.millis(500, 1_500)).await;
            for backend in &self.backends {
                let backend = backend.lock().await;
                let late = backend
                    .last_start()
                    .is_some_and(|last| last > since + EVACUATION_LIMIT);
                if backend.zone() == zone && late {
                    let line = format!(
                        "{} ran a request although its zone was evacuated",
                        backend.name()
                    );
                    self.context.checker.record_violation(line);
                }
            }
        }
        let finish = format!("Evacuation.Finish/{zone}");
        if !self.order(&finish, &mut random).await {
            let line = format!(
                "the evacuation of zone {zone} was not finished in {ORDER_ATTEMPTS} attempts"
            );
            self.context.checker.record_violation(line);
        }
    }

    async fn order(&self, order: &str, random: &mut Random) -> bool {
        let http = Context::client();
        for _ in 0..ORDER_ATTEMPTS {
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

    async fn disrupt_link(&self, mut random: Random) {
        let fault = LinkFault::draw(&mut random);
        let pause = random.millis(100, 1_500);
        let context = &self.context;
        match random.below(4) {
            0 => {
                let position = random.index(context.entries.len());
                let (address, relay) = context.entries.iter().nth(position).expect("in range");
                self.log_link(&address.to_string(), fault, pause);
                let since = time::Instant::now();
                relay.inject(fault, pause).await;
                context
                    .checker
                    .record_fault(*address, since, time::Instant::now());
            }
            1 => {
                let position = random.index(context.controls.len());
                self.log_link(&format!("control {}", position + 1), fault, pause);
                context.controls[position].inject(fault, pause).await;
            }
            _ => {
                let backend = &self.backends[random.index(self.backends.len())];
                let backend = backend.lock().await;
                self.log_link(&backend.name(), fault, pause);
                backend.relay.inject(fault, pause).await;
            }
        }
    }

    fn log_link(&self, name: &str, fault: LinkFault, pause: time::Duration) {
        let line = format!("link to {name}: {fault:?} for {pause:?}");
        self.context.checker.log(line);
    }
}

/// Starts random faults for `length` and returns once the last one has ended.
pub(crate) async fn inject(faults: &Faults, length: time::Duration, random: &mut Random) {
    let start = time::Instant::now();
    let mut running = JoinSet::new();
    while start.elapsed() < length {
        tokio::time::sleep(random.millis(50, 700)).await;
        let (faults, choice, random) = (faults.clone(), random.below(100), random.fork());
        running.spawn(async move {
            match choice {
                0..22 => faults.disrupt_control(random).await,
                22..28 => faults.lose_control_disk(random).await,
                28..46 => faults.disrupt_entry(random).await,
                46..54 => faults.suspend_entry(random).await,
                54..58 => faults.lose_power(random).await,
                58..66 => faults.replace_backend(random).await,
                66..70 => faults.evacuate_zone(random).await,
                70..76 => faults.pause_backend(random).await,
                _ => faults.disrupt_link(random).await,
            }
        });
    }
    while let Some(ended) = running.join_next().await {
        if let Err(error) = ended {
            faults
                .context
                .checker
                .record_violation(format!("a fault task failed: {error}"));
        }
    }
}

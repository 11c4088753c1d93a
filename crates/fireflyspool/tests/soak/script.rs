//! The faults of one run.

use std::{sync, time};

use tokio::{
    sync::{Mutex, Semaphore},
    task::JoinSet,
};

use super::{backends, fault::Fault, random::Random, stage::Stage, vm::Vm};

/// Control VMs of five that may be disturbed at a time.
const MINORITY: u32 = 2;

/// Time after a fault for which a control VM still counts as disturbed.
const REJOIN: time::Duration = time::Duration::from_secs(3);

/// Time in which a zone is out of use everywhere; `EvacuateMs` of the users' sites.
const EVACUATE: time::Duration = time::Duration::from_secs(5);

/// Attempts of an order to take a zone out or back.
const ORDERS: usize = 20;

type SharedVm = sync::Arc<Mutex<Vm>>;

/// VMs by role.
#[derive(Clone)]
pub(crate) struct Vms {
    pub(crate) controls: Vec<SharedVm>,
    pub(crate) entries: Vec<SharedVm>,
}

/// What faults act on.
#[derive(Clone)]
pub(crate) struct Parts {
    stage: sync::Arc<Stage>,
    vms: Vms,
    backends: Vec<backends::SharedBackend>,
    /// Control VMs that may still be disturbed.
    minority: sync::Arc<Semaphore>,
    /// Held while entry VMs lose touch, and while a promise to those in touch is checked.
    touch: sync::Arc<Mutex<()>>,
}

impl Parts {
    pub(crate) fn new(
        stage: sync::Arc<Stage>,
        vms: Vms,
        backends: Vec<backends::SharedBackend>,
    ) -> Self {
        Self {
            stage,
            vms,
            backends,
            minority: sync::Arc::new(Semaphore::new(MINORITY as usize)),
            touch: sync::Arc::default(),
        }
    }

    pub(crate) async fn check_processes(&self) {
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            vm.lock().await.check(&self.stage);
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
            0 => vm.kill(&self.stage, pause, false).await,
            1 => vm.freeze(&self.stage, pause).await,
            2 => vm.stop(&self.stage, pause).await,
            _ => vm.reload(&self.stage),
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
        vm.kill(&self.stage, pause, true).await;
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
            0 => vm.kill(&self.stage, pause, false).await,
            1 => vm.stop(&self.stage, pause).await,
            _ => vm.reload(&self.stage),
        }
    }

    async fn frozen_entry(&self, mut random: Random) {
        let index = random.index(self.vms.entries.len());
        let (Ok(_touch), Ok(mut vm)) = (self.touch.try_lock(), self.vms.entries[index].try_lock())
        else {
            return;
        };
        vm.freeze(&self.stage, Vm::outage(&mut random)).await;
        tokio::time::sleep(REJOIN).await;
    }

    /// All VMs lose power at the same moment.
    async fn power_loss(&self, mut random: Random) {
        let (Ok(_touch), Ok(_all)) = (
            self.touch.try_lock(),
            self.minority.try_acquire_many(MINORITY),
        ) else {
            return;
        };
        self.stage.ledger.tell("all VMs lose power".to_owned());
        let pause = Vm::outage(&mut random);
        let mut kills = JoinSet::new();
        for vm in self.vms.controls.iter().chain(&self.vms.entries) {
            let (vm, stage) = (sync::Arc::clone(vm), sync::Arc::clone(&self.stage));
            kills.spawn(async move { vm.lock().await.kill(&stage, pause, false).await });
        }
        kills.join_all().await;
        tokio::time::sleep(REJOIN).await;
    }

    async fn replaced_backend(&self, mut random: Random) {
        let Ok(_touch) = self.touch.try_lock() else {
            return;
        };
        let index = random.index(self.backends.len());
        let mut backend = self.backends[index].lock().await;
        backend.replace(&self.stage, &mut random).await;
    }

    async fn zone_out(&self, mut random: Random) {
        let Ok(_touch) = self.touch.try_lock() else {
            return;
        };
        let zone = "c";
        if self
            .order(&format!("Evacuation.Start/{zone}"), &mut random)
            .await
        {
            let since = time::Instant::now();
            tokio::time::sleep(EVACUATE + random.millis(500, 1_500)).await;
            for backend in &self.backends {
                let backend = backend.lock().await;
                let late = backend
                    .last_start()
                    .is_some_and(|last| last > since + EVACUATE);
                if backend.zone() == zone && late {
                    let line = format!("{} ran a request although it is out", backend.name());
                    self.stage.ledger.violate(line);
                }
            }
        }
        if !self
            .order(&format!("Evacuation.Finish/{zone}"), &mut random)
            .await
        {
            let line = format!("zone {zone} was not taken back in {ORDERS} attempts");
            self.stage.ledger.violate(line);
        }
    }

    async fn order(&self, order: &str, random: &mut Random) -> bool {
        let http = Stage::client();
        for _ in 0..ORDERS {
            let control = &self.stage.controls[random.index(self.stage.controls.len())];
            let url = format!("http://{}/fireflyspool/{order}", control.address());
            let answer = http.post(url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                self.stage.ledger.tell(format!("{order} acknowledged"));
                return true;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        false
    }

    async fn disturbed_way(&self, mut random: Random) {
        let fault = Fault::draw(&mut random);
        let pause = random.millis(100, 1_500);
        let stage = &self.stage;
        match random.below(4) {
            0 => {
                let position = random.index(stage.entries.len());
                let (address, relay) = stage.entries.iter().nth(position).expect("in range");
                stage
                    .ledger
                    .tell(format!("way to {address}: {fault:?} for {pause:?}"));
                let since = time::Instant::now();
                relay.set(fault);
                tokio::time::sleep(pause).await;
                relay.set(Fault::None);
                stage.ledger.disturb(*address, since, time::Instant::now());
            }
            1 => {
                let position = random.index(stage.controls.len());
                stage.ledger.tell(format!(
                    "way to control {position}: {fault:?} for {pause:?}"
                ));
                stage.controls[position].set(fault);
                tokio::time::sleep(pause).await;
                stage.controls[position].set(Fault::None);
            }
            _ => {
                let backend = &self.backends[random.index(self.backends.len())];
                let backend = backend.lock().await;
                stage.ledger.tell(format!(
                    "way to {}: {fault:?} for {pause:?}",
                    backend.name()
                ));
                backend.set(fault);
                tokio::time::sleep(pause).await;
                backend.set(Fault::None);
            }
        }
    }
}

/// Plays faults for a time and returns once the last has ended.
pub(crate) async fn play(parts: &Parts, length: time::Duration, random: &mut Random) {
    let start = time::Instant::now();
    let mut faults = JoinSet::new();
    while start.elapsed() < length {
        tokio::time::sleep(random.millis(50, 700)).await;
        let (parts, choice, random) = (parts.clone(), random.below(100), random.fork());
        faults.spawn(async move {
            match choice {
                0..22 => parts.control(random).await,
                22..28 => parts.lost_disk(random).await,
                28..46 => parts.entry(random).await,
                46..54 => parts.frozen_entry(random).await,
                54..58 => parts.power_loss(random).await,
                58..66 => parts.replaced_backend(random).await,
                66..70 => parts.zone_out(random).await,
                _ => parts.disturbed_way(random).await,
            }
        });
    }
    while let Some(ended) = faults.join_next().await {
        if let Err(error) = ended {
            parts
                .stage
                .ledger
                .violate(format!("a fault failed: {error}"));
        }
    }
}

//! One VM of a run and what is done to it from outside.

use std::{net, time};

use rustix::process::Signal;

use super::{context::Context, random::Random};
use crate::platform_site::Process;

/// Time in which a stopping process ends; `GraceS` of the settings, and some for a
/// busy machine.
const GRACE: time::Duration = time::Duration::from_millis(5_500);

/// Time from the start of a process until it can take signals.
const START: time::Duration = time::Duration::from_millis(100);

/// Time after its return in which callers of an entry VM may still notice.
const SETTLE: time::Duration = time::Duration::from_secs(2);

/// Memory of the smallest machine of the users' sites.
const MEMORY_MB: u64 = 112;

/// Descriptors of the smallest machine of the users' sites.
const DESCRIPTORS: usize = 2_870;

/// VM that runs one process.
pub(crate) struct Vm {
    pub(crate) number: u8,
    role: &'static str,
    zone: &'static str,
    process: Option<Process>,
}

impl Vm {
    pub(crate) fn start(
        context: &Context,
        number: u8,
        role: &'static str,
        zone: &'static str,
    ) -> Self {
        let process = context.site.start(number, role, zone, true);
        Self {
            number,
            role,
            zone,
            process: Some(process),
        }
    }

    /// Address for callers; means something on entry VMs only.
    pub(crate) fn address(&self, context: &Context) -> net::SocketAddr {
        context.site.at(self.number, 1)
    }

    /// Kills the process and starts it again, without its disk if `wipe` is set.
    pub(crate) async fn kill(&mut self, context: &Context, pause: time::Duration, wipe: bool) {
        let since = time::Instant::now();
        self.check(context);
        context.checker.log(format!(
            "{} {} is killed, disk lost: {wipe}",
            self.role, self.number
        ));
        if let Some(process) = self.process.take() {
            process.kill();
        }
        if wipe {
            // A process that was killed at its start has no folder yet.
            let _ = std::fs::remove_dir_all(context.site.data(self.number));
        }
        tokio::time::sleep(pause).await;
        self.restart(context, since).await;
    }

    /// Suspends the process for a while, as on a frozen machine.
    pub(crate) async fn freeze(&mut self, context: &Context, pause: time::Duration) {
        let since = time::Instant::now();
        self.check(context);
        context.checker.log(format!(
            "{} {} is suspended for {pause:?}",
            self.role, self.number
        ));
        if let Some(process) = &self.process {
            process.signal(Signal::STOP);
            tokio::time::sleep(pause).await;
            process.signal(Signal::CONT);
        }
        self.faulty(context, since);
    }

    /// Asks the process to end and starts it again.
    pub(crate) async fn stop(&mut self, context: &Context, pause: time::Duration) {
        self.check(context);
        context
            .checker
            .log(format!("{} {} gets SIGTERM", self.role, self.number));
        let Some(mut process) = self.process.take() else {
            return;
        };
        process.terminate();
        let start = time::Instant::now();
        while process.is_running() && start.elapsed() < GRACE {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        let since = time::Instant::now();
        if process.is_running() {
            let line = format!("{} {} did not end in {GRACE:?}", self.role, self.number);
            context.checker.violation(line);
        } else if process.wait(GRACE).await != Some(0) {
            let line = format!("{} {} ended with an error", self.role, self.number);
            context.checker.violation(line);
        }
        tokio::time::sleep(pause).await;
        self.restart(context, since).await;
    }

    /// Tells the process that its settings may have changed.
    pub(crate) fn reload(&mut self, context: &Context) {
        self.check(context);
        context
            .checker
            .log(format!("{} {} gets SIGHUP", self.role, self.number));
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    /// Notes a process that ended by itself or uses more than its machine has.
    pub(crate) fn check(&mut self, context: &Context) {
        let name = format!("{} {}", self.role, self.number);
        let Some(process) = &mut self.process else {
            return;
        };
        if !process.is_running() {
            return context.checker.violation(format!("{name} ended by itself"));
        }
        let memory = memory_mb(process.id());
        if memory > MEMORY_MB {
            context
                .checker
                .violation(format!("{name} holds {memory} MB"));
        }
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", process.id()));
        let descriptors = descriptors.map_or(0, Iterator::count);
        if descriptors > DESCRIPTORS {
            context
                .checker
                .violation(format!("{name} has {descriptors} descriptors"));
        }
    }

    /// A pause between death and restart.
    pub(crate) fn outage(random: &mut Random) -> time::Duration {
        random.millis(50, 2_000)
    }

    async fn restart(&mut self, context: &Context, since: time::Instant) {
        let process = context.site.start(self.number, self.role, self.zone, false);
        self.process = Some(process);
        tokio::time::sleep(START).await;
        self.faulty(context, since);
    }

    fn faulty(&self, context: &Context, since: time::Instant) {
        let until = time::Instant::now() + SETTLE;
        context.checker.fault(self.address(context), since, until);
    }
}

/// Resident memory of a process; 0 if it has just ended.
fn memory_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes =
        line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

//! One VM of a run and the faults of its process.

use std::{net, time};

use rustix::process::Signal;

use super::{context::Context, random::Random};
use crate::platform_site::Process;

/// Longest time for a process to end after SIGTERM: `GraceS` of the settings, and a
/// margin for a busy machine.
const STOP_LIMIT: time::Duration = time::Duration::from_millis(5_500);

/// Time from the start of a process until it handles signals.
const STARTUP: time::Duration = time::Duration::from_millis(100);

/// Time after a fault of an entry VM for which its callers may still be affected.
const AFTERMATH: time::Duration = time::Duration::from_secs(2);

/// Resident memory that the smallest machine of the users' sites allows.
const MEMORY_LIMIT_MB: u64 = 112;

/// File descriptors that the smallest machine of the users' sites allows.
const DESCRIPTOR_LIMIT: usize = 2_870;

/// VM with at most one running process.
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

    /// Address for callers; meaningful on entry VMs only.
    pub(crate) fn address(&self, context: &Context) -> net::SocketAddr {
        context.site.address(self.number, 1)
    }

    /// Kills the process and restarts it after `pause`; `wipe` deletes its data first.
    pub(crate) async fn kill(&mut self, context: &Context, pause: time::Duration, wipe: bool) {
        let since = time::Instant::now();
        self.check_process(context);
        context.checker.log(format!(
            "{} {} is killed, data deleted: {wipe}",
            self.role, self.number
        ));
        if let Some(process) = self.process.take() {
            process.kill();
        }
        if wipe {
            // A process killed during startup may not have created its folder.
            let _ = std::fs::remove_dir_all(context.site.data_folder(self.number));
        }
        tokio::time::sleep(pause).await;
        self.restart(context, since).await;
    }

    /// Suspends the process for `pause`, as when a hypervisor stalls the machine.
    pub(crate) async fn suspend(&mut self, context: &Context, pause: time::Duration) {
        let since = time::Instant::now();
        self.check_process(context);
        context.checker.log(format!(
            "{} {} is suspended for {pause:?}",
            self.role, self.number
        ));
        if let Some(process) = &self.process {
            process.signal(Signal::STOP);
            tokio::time::sleep(pause).await;
            process.signal(Signal::CONT);
        }
        self.record_fault(context, since);
    }

    /// Ends the process with SIGTERM, checks its exit, and restarts it after `pause`.
    pub(crate) async fn stop(&mut self, context: &Context, pause: time::Duration) {
        self.check_process(context);
        context
            .checker
            .log(format!("{} {} gets SIGTERM", self.role, self.number));
        let Some(mut process) = self.process.take() else {
            return;
        };
        process.terminate();
        let start = time::Instant::now();
        while process.is_running() && start.elapsed() < STOP_LIMIT {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        let since = time::Instant::now();
        if process.is_running() {
            let line = format!(
                "{} {} did not end in {STOP_LIMIT:?}",
                self.role, self.number
            );
            context.checker.record_violation(line);
        } else if process.wait(STOP_LIMIT).await != Some(0) {
            let line = format!("{} {} did not exit with code 0", self.role, self.number);
            context.checker.record_violation(line);
        }
        tokio::time::sleep(pause).await;
        self.restart(context, since).await;
    }

    /// Sends SIGHUP, which makes the process reload its settings.
    pub(crate) fn reload(&mut self, context: &Context) {
        self.check_process(context);
        context
            .checker
            .log(format!("{} {} gets SIGHUP", self.role, self.number));
        if let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
    }

    /// Records a violation if the process has ended by itself or exceeds a resource limit.
    pub(crate) fn check_process(&mut self, context: &Context) {
        let name = format!("{} {}", self.role, self.number);
        let Some(process) = &mut self.process else {
            return;
        };
        if !process.is_running() {
            return context
                .checker
                .record_violation(format!("{name} ended by itself"));
        }
        let memory = memory_mb(process.id());
        if memory > MEMORY_LIMIT_MB {
            context
                .checker
                .record_violation(format!("{name} uses {memory} MB of memory"));
        }
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", process.id()));
        let descriptors = descriptors.map_or(0, Iterator::count);
        if descriptors > DESCRIPTOR_LIMIT {
            context
                .checker
                .record_violation(format!("{name} has {descriptors} open file descriptors"));
        }
    }

    /// Draws the length of an outage.
    pub(crate) fn random_outage(random: &mut Random) -> time::Duration {
        random.millis(50, 2_000)
    }

    async fn restart(&mut self, context: &Context, since: time::Instant) {
        let process = context.site.start(self.number, self.role, self.zone, false);
        self.process = Some(process);
        tokio::time::sleep(STARTUP).await;
        self.record_fault(context, since);
    }

    fn record_fault(&self, context: &Context, since: time::Instant) {
        let until = time::Instant::now() + AFTERMATH;
        context
            .checker
            .record_fault(self.address(context), since, until);
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

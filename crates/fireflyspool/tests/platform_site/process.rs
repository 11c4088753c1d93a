//! Process of the tier under test.

use std::{fs, path, process, time};

use rustix::process as signals;

/// Child process of a control or entry VM, killed when it is dropped.
pub(crate) struct Process {
    child: process::Child,
}

impl Process {
    pub(crate) fn start(role: &str, settings: &path::Path, log: &path::Path) -> Self {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let child = process::Command::new(env!("CARGO_BIN_EXE_fireflyspool"))
            .args(["platform", role])
            .env("FIREFLYSPOOL_CONFIG", settings)
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        Self { child }
    }

    pub(crate) fn kill(mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    pub(crate) fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    pub(crate) fn signal(&self, signal: signals::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = signals::Pid::from_raw(id).expect("a process id");
        signals::kill_process(id, signal).expect("the process has not been waited for");
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in kilobytes.
    pub(crate) fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a process");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).expect("a size")
    }

    pub(crate) fn is_running(&mut self) -> bool {
        let ended = self.child.try_wait().expect("the process status");
        ended.is_none()
    }

    /// Waits for the process to end; returns its exit code, `None` after a signal.
    ///
    /// Panics after `timeout`.
    pub(crate) async fn wait(mut self, timeout: time::Duration) -> Option<i32> {
        let start = time::Instant::now();
        while start.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().expect("the process status") {
                return status.code();
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        panic!("the process did not end in {timeout:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

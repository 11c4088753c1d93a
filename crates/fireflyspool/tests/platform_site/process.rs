//! A process of the tier.

use std::{fs, path, process, time};

use rustix::process as signals;

/// Running process, killed when it is dropped.
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
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ended");
    }

    pub(crate) fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    pub(crate) fn signal(&self, signal: signals::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = signals::Pid::from_raw(id).expect("a process id");
        signals::kill_process(id, signal).expect("it runs or was not waited for");
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn is_running(&mut self) -> bool {
        let ended = self.child.try_wait().expect("it can be asked");
        ended.is_none()
    }

    /// Waits for the end; returns the exit code.
    pub(crate) async fn wait(mut self, patience: time::Duration) -> Option<i32> {
        let start = time::Instant::now();
        while start.elapsed() < patience {
            if let Some(status) = self.child.try_wait().expect("it can be asked") {
                return status.code();
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        panic!("the process did not end in {patience:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

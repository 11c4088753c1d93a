//! Signals to processes.

/// Signal to a process given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Stops it until `Continue`.
    Stop,
    /// Lets it go on.
    Continue,
    /// Asks it to end.
    Terminate,
}

impl Signal {
    /// Sends the signal.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or the signal is not permitted.
    pub fn send(self, process: i32) -> std::io::Result<()> {
        let signal = match self {
            Self::Kill => rustix::process::Signal::KILL,
            Self::Stop => rustix::process::Signal::STOP,
            Self::Continue => rustix::process::Signal::CONT,
            Self::Terminate => rustix::process::Signal::TERM,
        };
        // Zero and negative numbers address process groups.
        let process = rustix::process::Pid::from_raw(process.max(0));
        let process = process.ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(rustix::process::kill_process(process, signal)?)
    }
}

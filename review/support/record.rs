//! What was sent, answered and run, in `record.txt`.

use std::{
    fs,
    io::Write as _,
    path,
    sync::{Arc, Mutex},
    time,
};

/// Record of a run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: time::Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Starts a new file.
    pub fn new(path: &path::Path) -> Self {
        let file = fs::File::create(path).expect("record.txt can be written");
        Self {
            start: time::Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start of the run.
    pub fn at(&self, moment: time::Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line with the current time.
    pub fn note(&self, text: String) {
        let mut file = self.file.lock().expect("the lock is not poisoned");
        let seconds = self.at(time::Instant::now());
        writeln!(file, "{seconds:9.3} {text}").expect("record.txt can be written");
    }
}

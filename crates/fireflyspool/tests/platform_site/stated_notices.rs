//! What a stand-in server states about itself, and which VMs do not heed it.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

/// Time after a stated pause within which requests may still arrive, and the number that
/// may arrive later; bounds of the users' pages.
const PAUSE_GRACE: time::Duration = time::Duration::from_millis(500);
const LATE_ARRIVALS: usize = 2;

/// Pause that was stated to one entry VM.
struct Stated {
    since: time::Instant,
    until: time::Instant,
    late: usize,
}

/// Departure and pause of one server.
#[derive(Default)]
pub(crate) struct StatedNotices {
    leaving: atomic::AtomicBool,
    paused_until: sync::Mutex<Option<time::Instant>>,
    /// By entry VM, as named at the end of request ids.
    stated: sync::Mutex<collections::BTreeMap<String, Stated>>,
}

impl StatedNotices {
    /// Has all answers state that the server leaves.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
    }

    /// Has the server refuse requests for `pause`, and state for how long.
    pub(crate) fn pause(&self, pause: time::Duration) {
        let until = time::Instant::now() + pause;
        *self.paused_until.lock().expect("no panic") = Some(until);
    }

    pub(crate) fn clear(&self) {
        self.leaving.store(false, atomic::Ordering::Relaxed);
        *self.paused_until.lock().expect("no panic") = None;
        self.stated.lock().expect("no panic").clear();
    }

    pub(crate) fn leaving_header(&self) -> &'static str {
        match self.leaving.load(atomic::Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        }
    }

    /// Time that is left of the pause when request `id` arrives; `None` outside a pause.
    pub(crate) fn pause_left(&self, id: &str) -> Option<time::Duration> {
        let now = time::Instant::now();
        let until = (*self.paused_until.lock().expect("no panic"))?;
        let left = until.checked_duration_since(now)?;
        let vm = id.rsplit('-').next().unwrap_or_default().to_owned();
        let mut stated = self.stated.lock().expect("no panic");
        let make = || Stated {
            since: now,
            until,
            late: 0,
        };
        let stated = stated.entry(vm).or_insert_with(make);
        if stated.until < until {
            *stated = make();
        }
        stated.late += usize::from(now > stated.since + PAUSE_GRACE);
        Some(left)
    }

    /// Entry VMs that were told of a pause.
    pub(crate) fn told(&self) -> Vec<String> {
        let stated = self.stated.lock().expect("no panic");
        stated.keys().cloned().collect()
    }

    /// Entry VMs that sent too many requests during a pause: which, since when they knew,
    /// and how many requests came late.
    pub(crate) fn offenders(&self) -> Vec<(String, time::Instant, usize)> {
        let stated = self.stated.lock().expect("no panic");
        let late = stated
            .iter()
            .filter(|(_, stated)| stated.late > LATE_ARRIVALS);
        late.map(|(vm, stated)| (vm.clone(), stated.since, stated.late))
            .collect()
    }
}

//! Wake-ups of the timer service.

use std::{fs, sync::mpsc, thread, time};

use fireflyspool::timer;

const LONG: time::Duration = time::Duration::from_secs(60);

/// How often the timer thread of this process has gone to sleep.
fn sleeps() -> u64 {
    let threads = fs::read_dir("/proc/self/task").expect("threads");
    let mut paths = threads.map(|thread| thread.expect("a thread").path());
    let path = paths.find(|path| {
        let name = fs::read_to_string(path.join("comm"));
        name.is_ok_and(|name| name.trim() == "timer")
    });
    let path = path.expect("a timer thread");
    let status = fs::read_to_string(path.join("status")).expect("a status");
    let mut lines = status.lines();
    let count = lines.find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    let count = count.and_then(|text| text.trim().parse().ok());
    count.expect("a number of switches")
}

/// The thread of the service is found by its name, so one test has it to itself.
#[test]
fn a_later_deadline_does_not_wake_the_timer_thread() {
    let timer = timer::TimerService::start().expect("a thread");
    let (sender, receiver) = mpsc::channel();
    let first = time::Instant::now() + LONG;
    timer.subscribe(first, || {});
    thread::sleep(time::Duration::from_millis(50));
    let before = sleeps();
    for number in 1..=500 {
        let token = timer.subscribe(first + LONG * number, || {});
        thread::sleep(time::Duration::from_micros(100));
        timer.cancel(token);
    }
    let woken = sleeps() - before;
    assert!(woken < 10, "woken {woken} times for 500 later deadlines");

    let soon = time::Instant::now() + time::Duration::from_millis(5);
    timer.subscribe(soon, move || sender.send(()).expect("a receiver"));
    let fired = receiver.recv_timeout(LONG / 2);
    fired.expect("an earlier deadline wakes the thread");
    timer.stop();
}

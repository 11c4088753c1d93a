//! Orders that a control VM reads after their sender has given them up.

mod platform_site;

use std::time;

use platform_site::{Site, WAIT_LIMIT};
use rustix::process as signals;

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Control VM that is frozen, and the time for which it is.
const FROZEN: u8 = 2;
const FREEZE: time::Duration = time::Duration::from_secs(4);

/// Time without a response after which an operator turns to another control VM.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Sends an order that is not answered, and closes the connection.
async fn send_in_vain(site: &Site, path: &str) {
    let url = format!("http://{}{path}", site.control(FROZEN));
    let http = reqwest::Client::builder().no_proxy().timeout(CALL_LIMIT);
    let http = http.build().expect("a client");
    let sent = http.post(url).send().await;
    assert!(sent.is_err_and(|error| error.is_timeout()), "{path}");
}

/// Number of applied orders about a zone at one control VM.
fn applied(site: &Site, vm: u8, zone: &str) -> usize {
    let log = site.log(vm, "control");
    let named = format!("zone: \\\"{zone}\\\"");
    let orders = log.lines().filter(|line| line.contains(&named));
    orders.count()
}

/// Guards against an evacuation or its end that takes effect after later orders, because it
/// waited in the socket of a control VM that stood still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_its_sender_has_given_up_is_not_executed() {
    let site = Site::new(72);
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let controls: Vec<_> = controls.collect();
    let configuration = site.configuration(3, 1_500);
    site.order(&CONTROLS, "/fireflyspool/Config.Replace", configuration)
        .await;
    let (start, finish) = (
        "/fireflyspool/Evacuation.Start/",
        "/fireflyspool/Evacuation.Finish/",
    );
    site.order(&[1, 3], &format!("{start}a"), String::new())
        .await;
    let frozen = &controls[usize::from(FROZEN) - 1];
    frozen.signal(signals::Signal::STOP);
    let frozen_at = time::Instant::now();
    let (stale_finish, stale_start) = (format!("{finish}a"), format!("{start}b"));
    tokio::join!(
        send_in_vain(&site, &stale_finish),
        send_in_vain(&site, &stale_start),
    );
    tokio::time::sleep(FREEZE.saturating_sub(frozen_at.elapsed())).await;
    frozen.signal(signals::Signal::CONT);
    // The frozen VM has caught up and carried out what it wanted to once it answers again.
    site.order(&[FROZEN], &format!("{start}c"), String::new())
        .await;
    let woken = time::Instant::now();
    while applied(&site, FROZEN, "c") == 0 {
        assert!(woken.elapsed() < WAIT_LIMIT, "the order is not applied");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    tokio::time::sleep(CALL_LIMIT).await;
    assert_eq!(applied(&site, FROZEN, "a"), 1, "only the first order");
    assert_eq!(applied(&site, FROZEN, "b"), 0, "no order");
}

//! Memory of a control VM while many callers send large bodies that do not end.

mod platform_site;

use std::{net, time};

use platform_site::Site;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    task::JoinSet,
};

const CONTROLS: [u8; 3] = [1, 2, 3];

/// Callers, and the bytes that each of them sends of a configuration of eight megabytes.
const CALLERS: usize = 100;
const STATED_BYTES: usize = 8_000_000;
const SENT_BYTES: usize = 7_000_000;

/// Time in which the bytes of all callers arrive.
const LENGTH: time::Duration = time::Duration::from_secs(4);

/// Memory of a control VM on the users' platform.
const MAX_MEMORY_KB: u64 = 256 * 1_000_000 / 1_024;

/// Sends the head and most of the body of a configuration, and holds the connection open.
async fn send_without_end(control: net::SocketAddr) {
    let Ok(mut stream) = tokio::net::TcpStream::connect(control).await else {
        return;
    };
    let head = format!(
        "POST /fireflyspool/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: {STATED_BYTES}\r\n\r\n"
    );
    // The VM may refuse the body before all of it has arrived.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&vec![b' '; SENT_BYTES]).await;
    let _ = stream.read(&mut [0; 1_024]).await;
    tokio::time::sleep(LENGTH).await;
}

/// A limit for each body does not bound what the bodies of many callers take together: a control
/// VM was killed for its memory, and its orders and heartbeats were refused with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_orders_of_many_callers_fit_into_the_memory_of_a_control_vm() {
    let site = Site::new(75);
    let zones = CONTROLS.iter().zip(["a", "b", "c"]);
    let controls = zones.map(|(vm, zone)| site.start(*vm, "control", zone, true));
    let mut controls: Vec<_> = controls.collect();
    let replace = "/fireflyspool/Config.Replace";
    site.order(&CONTROLS, replace, site.configuration(3, 900))
        .await;
    let address = site.control(1);
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(send_without_end(address));
    }
    let (started, mut peak) = (time::Instant::now(), 0);
    while started.elapsed() < LENGTH {
        assert!(controls[0].is_running(), "the control VM ended");
        peak = peak.max(controls[0].resident_kb());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    println!("peak of the resident memory: {peak} KB");
    assert!(peak < MAX_MEMORY_KB, "{peak} KB, {MAX_MEMORY_KB} allowed");
    callers.shutdown().await;
    site.order(&[1], replace, site.configuration(4, 900)).await;
    drop(controls);
}

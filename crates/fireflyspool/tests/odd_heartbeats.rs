//! Heartbeats of another writer, with fields that no backend server sends.
//!
//! One such heartbeat must neither end a process nor keep entry VMs from following the others.

mod departure_log;

use std::{net, sync, time};

use fireflyspool::{fleet, follow, hub, platform, registry};

const SERVICE: &str = "desk";

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

/// Heartbeat with one field replaced or added.
fn heartbeat(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("Backend", format!("\"{SERVICE}\"")),
        ("Address", "\"10.0.0.9:80\"".to_owned()),
        ("Zone", "\"a\"".to_owned()),
        ("Version", "\"v1\"".to_owned()),
        ("Concurrency", "2".to_owned()),
        ("State", "\"ready\"".to_owned()),
        ("WarmupLeftMs", "0".to_owned()),
        ("Sequence", "1".to_owned()),
        ("born", "5".to_owned()),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value.to_owned()));
    let fields = fields.iter();
    let fields: Vec<_> = fields
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Bodies of odd heartbeats, and whether they are to be refused.
fn odd_bodies() -> Vec<(Vec<u8>, bool)> {
    let nested = format!("{}{}", "[".repeat(8_000), "]".repeat(8_000));
    let unclosed = "{\"a\":".repeat(3_000);
    let mut bodies = vec![
        (heartbeat("extra", &nested), false),
        (heartbeat("Zone", &nested), true),
        (unclosed.into_bytes(), true),
        (vec![0xff, 0xfe, 0x00], true),
        (Vec::new(), true),
        (heartbeat("Address", "\"10.0.0.9:70000\""), true),
        (heartbeat("Address", "\"10.0.0.9:-1\""), true),
        (heartbeat("Address", "\"10.0.0.9:0\""), false),
        (heartbeat("State", "\"asleep\""), true),
        (heartbeat("Concurrency", "0"), false),
        (heartbeat("Concurrency", "4294967295"), false),
        (heartbeat("Sequence", "18446744073709551615"), false),
        (heartbeat("born", "18446744073709551615"), false),
    ];
    for field in ["Concurrency", "Sequence", "born", "WarmupLeftMs"] {
        for value in [
            "-1",
            "1e999",
            "99999999999999999999999999",
            "\"2\"",
            "null",
            "{}",
        ] {
            let is_number = field == "WarmupLeftMs" && value.starts_with('9');
            if !is_number {
                bodies.push((heartbeat(field, value), true));
            }
        }
    }
    for value in ["1e16", "1e19", "1e21", "1e22", "1.8e22", "1e25", "1e300"] {
        // Some are refused and some are taken for a long time; no process may end by either.
        bodies.push((heartbeat("WarmupLeftMs", value), false));
    }
    bodies
}

fn hub(number: u16, now: time::Instant) -> hub::Hub {
    let info = hub::HubInfo {
        rpc: address(number),
        control: address(number + 1_000),
        zone: "a".to_owned(),
        incarnation: u64::from(number),
    };
    let config = hub::Config::new(time::Duration::from_millis(1_200));
    let mut hub = hub::Hub::new(info, config, &[address(1), address(2)], now);
    departure_log::DepartureLog::new().recover(&mut hub, now);
    hub
}

/// The message as it arrives at another process.
fn transmit<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let bytes = serde_json::to_vec(message).expect("it can be encoded");
    serde_json::from_slice(&bytes).expect("it can be decoded")
}

/// Another operator's machines ended again and again, or stopped following the list of servers,
/// after one entry with a number that is too large.
#[test]
fn an_odd_heartbeat_neither_ends_a_process_nor_hides_other_servers() {
    let now = time::Instant::now();
    let member = hub::Member {
        callers: address(100),
        listener: None,
        zone: "a".to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
        ready: false,
    };
    let good = heartbeat("Address", "\"10.0.0.8:80\"");
    for (body, refused) in odd_bodies() {
        let text = String::from_utf8_lossy(&body[body.len().saturating_sub(60)..]).into_owned();
        let decoded = platform::HeartbeatWire::decode("odd".to_owned(), &body);
        assert!(decoded.is_err() || !refused, "not refused: {text}");
        let (mut first, mut second) = (hub(1, now), hub(2, now));
        for report in
            decoded.into_iter().chain([
                platform::HeartbeatWire::decode("good".to_owned(), &good).expect("a heartbeat")
            ])
        {
            first.report(1, report, now);
        }
        let contacts = vec![address(2)];
        let format = sync::Arc::new(platform::ConfigurationFormat);
        let follower = follow::Follower::new(member.clone(), format, contacts, now);
        let mut follower = follower.expect("it has contacts");
        let mut fleet = fleet::Fleet::new(
            "a".to_owned(),
            1,
            fleet::RetryLimits {
                ratio: 0.2,
                slack: 10.0,
                window: time::Duration::from_secs(10),
            },
        );
        for millis in (0..3_000).step_by(100) {
            let now = now + time::Duration::from_millis(millis);
            for action in first.advance(now, time::Duration::ZERO) {
                if let hub::Action::Exchange { peer, batch } = action {
                    let ack = second.receive_batch(transmit(&*batch), now);
                    first.exchange_ended(peer, Some(&ack), now);
                }
            }
            if let Some(poll) = follower.poll(&[], now, time::Duration::ZERO) {
                second.follow(2, transmit(&poll.request), now);
            }
            for action in second.advance(now, time::Duration::ZERO) {
                if let hub::Action::Reply { reply, .. } = action {
                    follower
                        .poll_ended(Some(transmit(&*reply)), now)
                        .expect("the reply can be used");
                }
            }
            fleet.update(follower.view(), now);
            fleet.pick(SERVICE, &[], 0, now);
        }
        let known = follower.view().servers.get("good");
        let phase = known.map(|known| known.record.phase);
        assert_eq!(phase, Some(registry::Phase::Serving), "lost beside {text}");
    }
}

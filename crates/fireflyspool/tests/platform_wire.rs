//! Decoding of the platform's messages and settings, and the causes of refusals.

use std::time;

use fireflyspool::configuration::Format as _;
use fireflyspool::{backend, configuration, platform, registry};

const HEARTBEAT: &str = r#"{"Backend":"shard","Address":"10.0.0.9:8080","Zone":"a",
    "Version":"v1","Concurrency":3,"State":"ready","WarmupLeftMs":0,"Sequence":4,"born":17}"#;

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[
    {"Name":"r1","Hostname":"Host.example","PathPrefix":"/a/","RouteType":"idempotent",
     "TimeoutMs":800,"TargetLatencyMs":120,"Priority":1,"Gather":["s1","s2"],"Attempts":2,
     "TopK":20,"MinCoverage":0.5},
    {"Name":"r2","Hostname":"host.example","PathPrefix":"/a/b/","RouteType":"non_idempotent",
     "TimeoutMs":3000,"TargetLatencyMs":500,"Priority":2,"Backend":"s1","Attempts":2},
    {"Name":"r3","Hostname":"other.example","PathPrefix":"/","RouteType":"idempotent",
     "TimeoutMs":3000,"TrafficSplit":[{"Backend":"s1","Weight":1},{"Backend":"s2","Weight":3}]}],
    "Backends":[{"Name":"s1","HealthPath":"/health","MaxConnections":66,"WarmupS":3.0,
     "WarmupPerS":0.0},{"Name":"s2"}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,
     "IdleTimeoutMs":15000}}"#;

fn decode(text: &str) -> Result<configuration::Configuration, configuration::ConfigurationError> {
    let decoded = platform::ConfigurationFormat.decode(text)?;
    decoded.validate()?;
    Ok(decoded)
}

/// Guards against a field decoded from the wrong wire name.
#[test]
fn a_heartbeat_is_decoded() {
    let report = platform::HeartbeatWire::decode("i-1".to_owned(), HEARTBEAT.as_bytes())
        .expect("a valid heartbeat");
    assert_eq!((report.server.as_str(), report.born), ("i-1", 17));
    assert_eq!((report.service.as_str(), report.slots), ("shard", 3));
    assert_eq!((report.zone.as_str(), report.sequence), ("a", 4));
    assert_eq!(report.phase, registry::Phase::Serving);
    assert!(report.cold_left.is_zero());
}

/// Guards against a lost version, and against heartbeats that are refused because of a version
/// that earlier releases ignored.
#[test]
fn a_version_is_decoded_if_it_is_a_text() {
    for (version, expected) in [(r#""v2""#, "v2"), ("7", ""), ("null", ""), ("[]", "")] {
        let field = format!(r#""Version":{version},"Sequence":4"#);
        let body = HEARTBEAT
            .replace(r#""Version":"v1","#, "")
            .replace(r#""Sequence":4"#, &field);
        let report = platform::HeartbeatWire::decode("i-1".to_owned(), body.as_bytes());
        assert_eq!(report.expect("a valid heartbeat").version, expected);
    }
}

/// Guards against an invalid heartbeat that registers a server, and an error that
/// does not name the cause.
#[test]
fn an_invalid_heartbeat_is_refused_with_its_cause() {
    let invalid = [
        ("", "EOF"),
        ("\u{fffd}", "expected"),
        (&HEARTBEAT.replace(r#""ready""#, r#""resting""#), "resting"),
        (&HEARTBEAT.replace(r#""Sequence":4,"#, ""), "Sequence"),
        (
            &HEARTBEAT.replace("10.0.0.9:8080", "nowhere"),
            "socket address",
        ),
        (
            &HEARTBEAT.replace(r#""Sequence":4"#, r#""Sequence":"4""#),
            "string",
        ),
        (
            &HEARTBEAT.replace(r#""Zone":"a""#, r#""Zone":7"#),
            "integer",
        ),
        (&HEARTBEAT.replace(r#"Ms":0"#, r#"Ms":-1"#), "WarmupLeftMs"),
    ];
    for (body, cause) in invalid {
        let decoded = platform::HeartbeatWire::decode("i-1".to_owned(), body.as_bytes());
        let error = decoded.expect_err(body).to_string();
        assert!(error.contains(cause), "`{error}` does not name `{cause}`");
    }
    let not_utf8 = platform::HeartbeatWire::decode("i-1".to_owned(), &[0xff, 0xfe]);
    assert!(not_utf8.is_err());
}

/// Guards against a decoder that panics on an arbitrary or truncated body.
#[test]
fn decoders_do_not_panic_on_arbitrary_bodies() {
    fn property(bytes: Vec<u8>, cut: usize) -> bool {
        let _ = platform::HeartbeatWire::decode("i-1".to_owned(), &bytes);
        let _ = platform::DepartureWire::decode(&bytes);
        let text = &CONFIGURATION[..cut % CONFIGURATION.len()];
        decode(text).is_err()
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, usize) -> bool);
}

/// Guards against a route found under another host or a shorter prefix.
#[test]
fn a_request_takes_the_longest_matching_prefix_of_its_host() {
    let decoded = decode(CONFIGURATION).expect("a valid configuration");
    let table = configuration::RoutingTable::new(decoded);
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("host.example", "/a/x").as_deref(), Some("r1"));
    assert_eq!(name("HOST.example:80", "/a/b/x").as_deref(), Some("r2"));
    assert_eq!(name("other.example", "/a/x").as_deref(), Some("r3"));
    assert_eq!(name("host.example", "/ab"), None);
    assert_eq!(name("nowhere.example", "/a/x"), None);
    let r2 = table.find("host.example", "/a/b/").expect("a route");
    assert!(!r2.idempotent, "the type decides, not the name");
}

/// Guards against an invalid configuration that is acknowledged, and an error that
/// does not name the cause.
#[test]
fn an_invalid_configuration_is_refused_with_its_cause() {
    let invalid = [
        (CONFIGURATION.replace(r#""s1","s2""#, r#""s1","s9""#), "s9"),
        (CONFIGURATION.replace("/a/b/", "/a/"), "share host"),
        (
            CONFIGURATION.replace(r#"TimeoutMs":800"#, r#"TimeoutMs":0"#),
            "no timeout",
        ),
        (
            CONFIGURATION
                .replace(r#""Weight":1"#, r#""Weight":0"#)
                .replace(r#""Weight":3"#, r#""Weight":0"#),
            "add up to 0",
        ),
        (
            CONFIGURATION.replace(r#""Backend":"s1","Attempts""#, r#""Attempts""#),
            "unknown service",
        ),
        (CONFIGURATION.replace(r#""/a/b/""#, r#""/a/b""#), "slash"),
        (
            CONFIGURATION[..CONFIGURATION.len() / 2].to_owned(),
            "cannot be read",
        ),
    ];
    for (text, cause) in invalid {
        let error = decode(&text).expect_err(&text).to_string();
        assert!(error.contains(cause), "`{error}` does not name `{cause}`");
    }
}

/// Guards against a release that cannot read settings extended by a newer platform.
#[test]
fn unknown_settings_are_ignored() {
    let text = r#"
        NodeName = "edge-1"
        Ip = "10.1.0.39"
        Zone = "a"
        Region = "r"
        InternalPortRange = [7740, 7755]
        Seeds = ["10.1.0.42:8224"]
        Novelty = { deep = [1, 2] }
        [ListenAddrs]
        Frontend = "10.1.0.39:8226"
        [Bounds]
        RetryBudgetRatio = 0.2
        BudgetSlack = 116
        GraceS = 6
    "#;
    let folder = std::env::temp_dir().join(format!("fireflyspool-wire-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("settings.toml");
    std::fs::write(&path, text).expect("a file");
    let settings = platform::ProcessSettings::load(&path).expect("valid settings");
    let entry = settings.entry().expect("an entry VM");
    assert_eq!(entry.contacts[0].to_string(), "10.1.0.42:7740");
    assert_eq!(entry.limits.slack, 116.0);
    let error = settings
        .control()
        .expect_err("no control address")
        .to_string();
    assert!(error.contains("ListenAddrs.Control"), "{error}");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

/// Guards against an unreadable body that is decoded as the start time of another
/// incarnation.
#[test]
fn a_departure_decodes_to_its_start_time_or_an_error() {
    let born = |body: &[u8]| platform::DepartureWire::decode(body).map(|wire| wire.born);
    assert_eq!(born(br#"{"born":17,"Novelty":1}"#).ok(), Some(Some(17)));
    assert_eq!(born(b"{}").ok(), Some(None));
    assert_eq!(born(b"").ok(), Some(None));
    for invalid in [b"{".as_slice(), br#"{"born":"x"}"#, &[0xff]] {
        assert!(born(invalid).is_err());
    }
}

fn decode_condition(status: u16, fields: &[(&'static str, &str)]) -> backend::Condition {
    let mut head = http::HeaderMap::new();
    for (name, value) in fields {
        let value = http::HeaderValue::from_str(value).expect("a header value");
        head.append(*name, value);
    }
    let status = http::StatusCode::from_u16(status).expect("a status");
    platform::decode_condition(status, &head)
}

/// Guards against a pause that is missed, made up or endless.
#[test]
fn a_pause_is_decoded_from_the_refusals_of_backend_servers() {
    let cases = [
        (503, vec!["2"], Some(2_000)),
        (503, vec![" 0.25 "], Some(250)),
        (503, vec!["1", "3", "2"], Some(3_000)),
        (503, vec!["soon", "1"], Some(1_000)),
        (503, vec!["1e300"], Some(3_600_000)),
        (503, vec!["0"], None),
        (503, vec!["-1"], None),
        (503, vec!["NaN"], None),
        (503, vec!["inf"], None),
        (503, vec![""], None),
        (503, vec!["Fri, 04 Dec 2026 21:00:00 GMT"], None),
        (200, vec!["2"], None),
        (429, vec!["2"], None),
        (503, vec![], None),
    ];
    for (status, values, millis) in cases {
        let fields: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
        let pause = decode_condition(status, &fields).pause;
        let expected = millis.map(time::Duration::from_millis);
        assert_eq!(pause, expected, "{status} {values:?}");
    }
}

/// Guards against a server that loses its requests because of a header that is not understood.
#[test]
fn a_departure_is_stated_by_one_value_only() {
    let leaving = |value| decode_condition(200, &[("server-leaving", value)]).leaving;
    assert!(leaving("1") && leaving(" 1 "));
    for other in ["0", "", "true", "11", "1, 0"] {
        assert!(!leaving(other), "{other:?}");
    }
    let both_malformed = [
        ("server-leaving", "?"),
        ("retry-after", "?"),
        ("x-server-load", "?,?"),
    ];
    let condition = decode_condition(503, &both_malformed);
    assert_eq!(condition, backend::Condition::default());
    let load = decode_condition(200, &[("x-server-load", "3,1,8")]).load;
    let expected = backend::Load {
        running: 3,
        queued: 1,
    };
    assert_eq!(load, Some(expected));
}

/// Guards against a load that is made up from a malformed header, which would attract requests
/// to a server or keep them from it.
#[test]
fn a_load_is_decoded_only_if_every_figure_is_plausible() {
    let decode = |value: &str| decode_condition(200, &[("x-server-load", value)]);
    let stated = decode(" 3, 1 ,8,250 ");
    let load = backend::Load {
        running: 3,
        queued: 1,
    };
    let pace = backend::Pace {
        slots: 8,
        percent: 250,
    };
    assert_eq!((stated.load, stated.pace), (Some(load), Some(pace)));
    for without_pace in ["3,1", "3,1,8"] {
        let stated = decode(without_pace);
        assert_eq!((stated.load, stated.pace), (Some(load), None));
    }
    let odd = [
        "",
        ",",
        "3",
        "3,",
        ",1",
        "3,1,",
        "3,1,8,",
        "3,1,8,100,",
        "3,1,8,100,1",
        "3,1,0",
        "3,1,0,100",
        "-3,1,8,100",
        "3,-1,8,100",
        "3,1,-8,100",
        "3,1,8,-100",
        "3,1,8,0",
        "3,1,8,10001",
        "3,1,8,1e2",
        "3,1,8,100.5",
        "3,1,8,NaN",
        "3,1,8,inf",
        "3;1;8;100",
        "3 1 8 100",
        "100001,1,8,100",
        "3,100001,8,100",
        "3,1,100001,100",
        "99999999999,1,8,100",
        "a,b,c,d",
    ];
    for value in odd {
        assert_eq!(decode(value), backend::Condition::default(), "{value:?}");
    }
}

fn with_accounts(accounts: &str) -> String {
    CONFIGURATION.replacen('{', &format!(r#"{{"Tenants":{accounts},"#), 1)
}

/// Guards against a key that finds no account, or that of another one.
#[test]
fn accounts_are_found_by_their_keys() {
    let text = with_accounts(
        r#"[{"Name":"a","ApiKeys":["ka1","ka2"],"RatePerS":2.5,"BurstSize":4,"Priority":0},
            {"Name":"b","ApiKeys":["kb"]}]"#,
    );
    let table = configuration::RoutingTable::new(decode(&text).expect("a valid configuration"));
    let find = |key: &str| table.accounts().find(key.as_bytes());
    let first = find("ka2").expect("the account of the key");
    assert_eq!((first.name.as_str(), first.priority), ("a", Some(0)));
    assert!(first.is_limited() && first.rate == 2.5 && first.burst == 4.0);
    let second = find("kb").expect("the account of the key");
    assert_eq!((second.name.as_str(), second.is_limited()), ("b", false));
    assert!(find("ka").is_none() && find("").is_none());
}

/// Guards against an invalid list of accounts that takes effect, and an error or debug output
/// that shows a key.
#[test]
fn invalid_accounts_are_refused_without_showing_keys() {
    let invalid = [
        (
            r#"[{"Name":"a","ApiKeys":["secret7"]},{"Name":"b","ApiKeys":["secret7"]}]"#,
            "share",
        ),
        (r#"[{"Name":"a","ApiKeys":["secret7","secret7"]}]"#, "share"),
        (
            r#"[{"Name":"a","ApiKeys":["secret7"]},{"Name":"a","ApiKeys":["k"]}]"#,
            "the name",
        ),
        (r#"[{"Name":"","ApiKeys":["secret7"]}]"#, "no name"),
        (r#"[{"Name":"a\n","ApiKeys":["secret7"]}]"#, "header"),
        (r#"[{"Name":"a","ApiKeys":[""]}]"#, "key 1"),
        (r#"[{"Name":"a","ApiKeys":["k","secret7 8"]}]"#, "key 2"),
        (r#"[{"Name":"a","ApiKeys":"sécret7"}]"#, "key 1"),
        (r#"[{"Name":"a","ApiKeys":[{"secret7":1}]}]"#, "key 1"),
        (r#"["secret7"]"#, "Tenants"),
        (
            r#"[{"Name":"a","ApiKeys":["secret7"],"RatePerS":-1}]"#,
            "quota",
        ),
        (
            r#"[{"Name":"a","ApiKeys":["secret7"],"BurstSize":-1}]"#,
            "quota",
        ),
    ];
    for (accounts, cause) in invalid {
        let error = decode(&with_accounts(accounts)).expect_err(accounts);
        let shown = format!("{error} {error:?}");
        assert!(shown.contains(cause), "`{shown}` does not name `{cause}`");
        assert!(!shown.contains("cret7"), "`{shown}` shows a key");
    }
    let text = with_accounts(r#"[{"Name":"a","ApiKeys":["secret7"]}]"#);
    let document = configuration::Document {
        version: 7,
        text: text.as_str().into(),
    };
    let decoded = decode(&text).expect("a valid configuration");
    assert!(!format!("{document:?} {decoded:?}").contains("cret7"));
}

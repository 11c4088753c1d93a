//! Tokens of client accounts from a control VM over its listener.

use std::{net, sync, time};

use fireflyspool::{configuration, node, platform, quota, rollout, state};

const OBJECTIVE: time::Duration = time::Duration::from_secs(3);

fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn account(name: &str, rate: f64, burst: f64) -> configuration::Account {
    configuration::Account {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        rate,
        burst,
    }
}

/// Starts the only control VM of a site.
async fn control_vm(rpc: net::SocketAddr) -> sync::Arc<node::Control> {
    let name = format!("fireflyspool-quota-{}", std::process::id());
    let settings = node::ControlSettings {
        rollouts: rollout::Limits::default(),
        site: "site".to_owned(),
        rpc,
        control: rpc,
        zone: "a".to_owned(),
        data: std::env::temp_dir().join(name),
        contacts: vec![rpc],
        founding: true,
        heartbeat: time::Duration::from_secs(1),
    };
    let format = sync::Arc::new(platform::ConfigurationFormat);
    let control = node::Control::start(settings, format, discard()).await;
    control.expect("a control VM")
}

/// Guards against tokens that are granted without a configuration, for other accounts or beyond
/// the quota of the configuration in the replicated log, and against waiting longer than a
/// request may.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_vm_grants_the_quota_of_its_configuration() {
    let rpc = free_address();
    let control = control_vm(rpc).await;
    let (process, _receiver) = node::Process::start(discard()).expect("threads");
    let client = node::QuotaClient::start(sync::Arc::clone(&process));
    let limited = account("limited", 0.01, 3.0);
    let unavailable = |answer| matches!(answer, Err(quota::Denial::Unavailable { .. }));

    // No control VM is known, and then one without a configuration.
    assert!(unavailable(client.take(&limited, OBJECTIVE).await));
    process.hubs.store(sync::Arc::new(vec![rpc]));
    let started = time::Instant::now();
    assert!(unavailable(client.take(&limited, OBJECTIVE).await));
    assert!(started.elapsed() < time::Duration::from_millis(600));
    assert_eq!(
        client.take(&account("free", 0.0, 0.0), OBJECTIVE).await,
        Ok(())
    );

    // The entry VM asks again after the pause that follows a call without an answer.
    tokio::time::sleep(time::Duration::from_millis(1_100)).await;
    // A control VM that has just started has one token, not the whole burst.
    let text = r#"{"Version":1,"Routes":[],"Backends":[],
        "Tenants":[{"Name":"limited","ApiKeys":["k-1"],"RatePerS":0.01,"BurstSize":3}]}"#;
    let document = configuration::Document {
        version: 1,
        text: text.into(),
    };
    let command = state::IdempotentCommand::Configure(document);
    let configured = control.execute(command).await;
    assert!(
        matches!(configured, node::CommandResult::Applied(_)),
        "{configured:?}"
    );
    let answers: Vec<_> =
        futures_util::future::join_all((0..5).map(|_| client.take(&limited, OBJECTIVE))).await;
    let granted = answers.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(granted, 1, "{answers:?}");
    let exhausted = |answer: &Result<(), quota::Denial>| match answer {
        Err(quota::Denial::Exhausted { retry_after }) => Some(*retry_after),
        _ => None,
    };
    let retries: Vec<_> = answers.iter().filter_map(exhausted).collect();
    assert_eq!(retries.len(), 4, "{answers:?}");
    assert!(
        retries
            .iter()
            .all(|retry| *retry > time::Duration::from_secs(90)),
        "{retries:?}"
    );
    assert!(unavailable(
        client.take(&account("unknown", 1.0, 1.0), OBJECTIVE).await
    ));
    assert_eq!(client.waiting(), 0);
}

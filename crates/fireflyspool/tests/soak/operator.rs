//! An operator who changes the configuration and reads it back.

use std::{net, sync, time};

use super::{context::Context, random::Random};

/// Works until the run is stopped.
pub(crate) async fn operate(context: sync::Arc<Context>, mut random: Random) {
    let http = Context::client();
    let mut pending: Option<u64> = None;
    while !context.is_stopped() {
        tokio::time::sleep(random.millis(50, 700)).await;
        let control = context.any_control(&mut random);
        if random.chance(60) {
            // What is not acknowledged is sent again, to any control VM.
            let version = match pending {
                Some(version) if random.chance(70) => version,
                _ => context.checker.next_version(1 + random.below(3)),
            };
            pending = Some(version);
            if replace(&context, &http, control, version).await {
                pending = None;
            }
        } else {
            let (newest, _) = context.checker.versions();
            if let Some(version) = read(&http, control).await {
                check(&context, version, newest);
            }
        }
    }
}

/// Sends the first configuration until it is acknowledged.
pub(crate) async fn install(context: &Context, patience: time::Duration) {
    let http = Context::client();
    let start = time::Instant::now();
    let version = context.checker.next_version(1);
    for turn in 0.. {
        let control = context.controls[turn % context.controls.len()].address();
        if replace(context, &http, control, version).await {
            return;
        }
        if start.elapsed() > patience {
            let line = format!("no configuration was acknowledged in {patience:?}");
            return context.checker.violation(line);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Sends a configuration once; returns whether it was acknowledged.
async fn replace(
    context: &Context,
    http: &reqwest::Client,
    control: net::SocketAddr,
    version: u64,
) -> bool {
    let body = context.site.configuration(version, 1_500);
    let status = Context::order(http, control, "Config.Replace", body).await;
    let accepted = status.is_some_and(|status| status.is_success());
    if accepted {
        context.checker.acknowledge(version);
        let line = format!("configuration {version} acknowledged");
        context.checker.log(line);
    } else if status.is_some_and(|status| status.is_client_error()) {
        let line = format!("configuration {version} got {status:?}");
        context.checker.violation(line);
    }
    accepted
}

/// Reads the configuration until a control VM is sure of it.
pub(crate) async fn read_back(context: &Context, patience: time::Duration) {
    let http = Context::client();
    let start = time::Instant::now();
    let (newest, _) = context.checker.versions();
    for turn in 0.. {
        if start.elapsed() > patience {
            let line = format!("no configuration was read in {patience:?}");
            return context.checker.violation(line);
        }
        let control = context.controls[turn % context.controls.len()].address();
        if let Some(version) = read(&http, control).await {
            return check(context, version, newest);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

fn check(context: &Context, version: u64, newest: u64) {
    let (_, sent) = context.checker.versions();
    if version < newest || version > sent {
        let line = format!("version {version} was read, {newest} acknowledged, {sent} sent");
        context.checker.violation(line);
    }
}

async fn read(http: &reqwest::Client, control: net::SocketAddr) -> Option<u64> {
    let url = format!("http://{control}/fireflyspool/Config.Get");
    let answer = http.get(url).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let document: serde_json::Value = answer.json().await.ok()?;
    document["Version"].as_u64()
}
